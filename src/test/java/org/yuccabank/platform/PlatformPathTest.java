package org.yuccabank.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the path from client to minion through the platform's HTTP calls, with a stand-in minion.
 */
public final class PlatformPathTest extends PlatformPath {

    /** Guards against jobs that are lost or run twice between the client and the minion. */
    @Test
    public void shouldRunStepsInOrderAndOnce() throws Exception {
        sendHeartbeat();
        String job =
                "{\"spec\":\"x\",\"steps\":[{\"count\":3,\"cpu\":500,\"mem_mb\":10,"
                        + "\"estimate_ms\":60},{\"count\":1,\"cpu\":500,\"depends_on\":[0]}]}";
        assertEquals(call("POST", ports[1], "/jobs/0123456789abcdef", job).statusCode(), 200);
        assertEquals(call("POST", ports[1], "/jobs/0123456789abcdef", job).statusCode(), 200);
        awaitState("0123456789abcdef", "completed");
        Set<String> ran = new TreeSet<>();
        minion.starts().stream().filter(each -> each.startsWith("0123")).forEach(ran::add);
        assertEquals(ran.size(), 4);
        assertTrue(ran.contains("0123456789abcdef.0.1.0#1"));
        long distinct = minion.starts().stream().filter(each -> each.startsWith("0123")).count();
        assertEquals(distinct, 4, "each task started once");
    }

    /** Guards against a second run of a task whose start was executed but not answered. */
    @Test(dependsOnMethods = "shouldRunStepsInOrderAndOnce")
    public void shouldResolveUnansweredStartFromList() throws Exception {
        sendHeartbeat();
        minion.setAnswersStarts(false);
        String job = "{\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":10,\"estimate_ms\":60}]}";
        assertEquals(call("POST", ports[1], "/jobs/aaaaaaaaaaaaaaaa", job).statusCode(), 200);
        awaitState("aaaaaaaaaaaaaaaa", "completed");
        minion.setAnswersStarts(true);
        long starts = minion.starts().stream().filter(each -> each.startsWith("aaaa")).count();
        assertEquals(starts, 1);
    }

    /** Guards against tasks of a restarted worker that wait until its previous lease expires. */
    @Test(dependsOnMethods = "shouldResolveUnansweredStartFromList")
    public void shouldRerunTasksOfRestartedWorkerImmediately() throws Exception {
        sendHeartbeat();
        minion.disableCompletion();
        String job = "{\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":10,\"estimate_ms\":60}]}";
        assertEquals(call("POST", ports[1], "/jobs/cccccccccccccccc", job).statusCode(), 200);
        await(() -> minion.starts().contains("cccccccccccccccc.0.0.0#1") ? 1 : 0, 1);
        setAnnouncement(2_000, 8_000);
        minion.restart(2_000);
        long restarted = System.nanoTime();
        sendHeartbeat(2_000);
        awaitState("cccccccccccccccc", "completed");
        long millis = Duration.ofNanos(System.nanoTime() - restarted).toMillis();
        assertTrue(
                millis < AgentRole.leaseDurations(workerSettings).renewalMillis() / 2,
                millis + " ms");
        assertTrue(minion.starts().contains("cccccccccccccccc.0.0.0#2"));
    }

    /** Guards against a long delay of an urgent step whose start was not answered. */
    @Test(dependsOnMethods = "shouldRerunTasksOfRestartedWorkerImmediately")
    public void shouldRetryUnansweredStartSoon() throws Exception {
        minion.dropNextStart();
        String job = "{\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":10,\"estimate_ms\":60}]}";
        assertEquals(call("POST", ports[1], "/jobs/dddddddddddddddd", job).statusCode(), 200);
        awaitState("dddddddddddddddd", "completed");
        // The objective of a quick preview leaves half of its run time for delays.
        assertTrue(minion.retryMillis() < 600, minion.retryMillis() + " ms");
    }

    /**
     * Guards against a start, assigned before the capacity of the worker shrank, that is repeated
     * afterwards and exceeds it.
     */
    @Test(dependsOnMethods = "shouldRetryUnansweredStartSoon")
    public void shouldNotRepeatStartThatExceedsShrunkenCapacity() throws Exception {
        sendHeartbeat(2_000, 8_000);
        minion.setDropsStarts(true);
        submit("eeeeeeeeeeeeeeee", 6_000);
        await(() -> minion.hasDropped("eeeeeeeeeeeeeeee.0.0.0#1") ? 1 : 0, 1);
        sendHeartbeat(2_000, 4_000);
        minion.setDropsStarts(false);
        submit("eeeeeeeeeeeeeeef", 3_000);
        awaitState("eeeeeeeeeeeeeeef", "completed");
        assertTrue(minion.starts().stream().noneMatch(each -> each.startsWith("eeeeeeeeeeeeeeee")));
        sendHeartbeat(2_000, 8_000);
        awaitState("eeeeeeeeeeeeeeee", "completed");
    }

    private boolean hasStarted(String workflowId) {
        return minion.starts().stream().anyMatch(each -> each.startsWith(workflowId));
    }

    /**
     * Guards against a start that exceeds the shrunken capacity of the worker because a restarted
     * agent receives it again and does not know the size of the runs beside it.
     */
    @Test(dependsOnMethods = "shouldRetryUnansweredStartSoon")
    public void shouldNotExceedShrunkenCapacityAfterRestartOfAgent() throws Exception {
        sendHeartbeat(2_000, 8_000);
        minion.disableCompletion();
        submit("ffffffffffffffff", 3_000);
        await(() -> minion.starts().contains("ffffffffffffffff.0.0.0#1") ? 1 : 0, 1);
        minion.setDropsStarts(true);
        submit("fffffffffffffffe", 3_000);
        await(() -> minion.hasDropped("fffffffffffffffe.0.0.0#1") ? 1 : 0, 1);
        agent.stop();
        minion.setDropsStarts(false);
        setAnnouncement(2_000, 4_000);
        agent = AgentRole.start(workerSettings);
        sendHeartbeat(2_000, 4_000);
        submit("fffffffffffffffd", 1_000);
        await(() -> hasStarted("fffffffffffffffd") ? 1 : 0, 1);
        assertFalse(hasStarted("fffffffffffffffe"));
        sendHeartbeat(2_000, 8_000);
        await(() -> minion.starts().contains("fffffffffffffffe.0.0.0#2") ? 1 : 0, 1);
        minion.enableCompletion();
        awaitState("ffffffffffffffff", "completed");
        assertEquals(
                minion.starts().stream()
                        .filter(each -> each.startsWith("ffffffffffffffff"))
                        .count(),
                1,
                "the run beside it was not disturbed");
    }

    /** Guards against a start on a capacity that may have shrunk while no report arrived. */
    @Test(dependsOnMethods = "shouldRetryUnansweredStartSoon")
    public void shouldWaitForStatusReportBeforeStart() throws Exception {
        announcement = "";
        Thread.sleep(workerSettings.contactMillis() + 200);
        submit("abababababababab", 500);
        Thread.sleep(500);
        assertTrue(minion.starts().stream().noneMatch(each -> each.startsWith("abababababababab")));
        sendHeartbeat(2_000, 8_000);
        awaitState("abababababababab", "completed");
    }

    /** Guards against an invalid job that is accepted or answered with another status. */
    @Test
    public void shouldRejectInvalidJobs() throws Exception {
        String path = "/jobs/bbbbbbbbbbbbbbbb";
        assertEquals(call("POST", ports[1], path, "{\"steps\":[").statusCode(), 400);
        assertEquals(call("POST", ports[1], path, "{\"steps\":[]}").statusCode(), 400);
        String selfDependentJob = "{\"steps\":[{\"count\":1,\"depends_on\":[0]}]}";
        assertEquals(call("POST", ports[1], path, selfDependentJob).statusCode(), 400);
        assertEquals(call("GET", ports[1], path, "").statusCode(), 410);
        assertEquals(call("GET", ports[1], "/other/x", "").statusCode(), 404);
    }

    /** Guards against an invalid manifest that is acknowledged. */
    @Test
    public void shouldRejectInvalidManifests() throws Exception {
        String path = "/api/config/replace";
        String truncated = MANIFEST.substring(0, MANIFEST.length() - 5);
        String unknownService = MANIFEST.replace("\"service\":\"s\"", "\"service\":\"t\"");
        String zeroTimeout = MANIFEST.replace("3000", "0");
        for (String invalid : new String[] {truncated, unknownService, zeroTimeout}) {
            assertEquals(call("POST", ports[3], path, invalid).statusCode(), 400, invalid);
        }
        assertEquals(call("POST", ports[3], path, MANIFEST).statusCode(), 200);
        HttpResponse<String> read = call("GET", ports[3], "/api/config/read", "");
        assertEquals(read.body(), MANIFEST);
    }

    /** Guards against a malformed status report that replaces the worker's announcement. */
    @Test
    public void shouldRejectMalformedStatusReports() throws Exception {
        String path = "/api/minions/m-1/heartbeat";
        assertEquals(call("POST", ports[4], path, "\u0000\u0001").statusCode(), 400);
        assertEquals(call("POST", ports[4], path, "{\"state\":\"odd\"}").statusCode(), 400);
        String withoutCapacity =
                "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
                        + "\"labels\":[],\"born\":1,\"clock_ms\":1,\"sequence\":1";
        assertEquals(call("POST", ports[4], path, withoutCapacity + "}").statusCode(), 400);
        String capacityText = withoutCapacity + ",\"capacity\":\"8000\"}";
        assertEquals(call("POST", ports[4], path, capacityText).statusCode(), 400);
    }

    /** Status reports of other writers, none of which names a worker to use. */
    @DataProvider
    public Object[][] reportsOfOtherWriters() {
        String valid =
                "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
                        + "\"capacity\":{\"cpu\":8000,\"mem_mb\":8000},\"labels\":[\"a\"],"
                        + "\"clock_ms\":1,\"sequence\":1,\"born\":9000000000000";
        String nested = "[".repeat(500) + "]".repeat(500);
        return new Object[][] {
            {"m-2", valid + "}"},
            {"m-1", valid + "}"},
            {"m-2", valid.replace("127.0.0.1:1", "999.1.1.1:80") + "}"},
            {"m-2", valid.replace("127.0.0.1:1", "127.0.0.1:99999") + "}"},
            {"m-2", valid.replace("127.0.0.1:1", "127.0.0.1:0") + "}"},
            {"m-2", valid.replace("8000", "8".repeat(400)) + "}"},
            {"m-2", valid.replace("9000000000000", "1e400") + "}"},
            {"m-2", valid + ",\"odd\":" + nested + "}"},
            {"m-2", valid + ",\"odd\":" + "[".repeat(100_000)},
            {"m-2", valid.replace("\"s\"", nested) + "}"}
        };
    }

    /**
     * Guards against a report of another writer that is taken for a new incarnation of the worker,
     * whose tasks are then started again beside their runs.
     */
    @Test(dependsOnMethods = "shouldWaitForStatusReportBeforeStart")
    public void shouldKeepWorkerDespiteReportsOfOtherWriters() throws Exception {
        sendHeartbeat(2_000, 8_000);
        minion.disableCompletion();
        submit("acacacacacacacac", 500);
        await(() -> minion.starts().contains("acacacacacacacac.0.0.0#1") ? 1 : 0, 1);
        for (Object[] report : reportsOfOtherWriters()) {
            String path = "/api/minions/" + report[0] + "/heartbeat";
            int status = call("POST", ports[4], path, (String) report[1]).statusCode();
            assertTrue(status >= 400, report[1] + " was acknowledged");
        }
        sendHeartbeat(2_000, 8_000);
        submit("acacacacacacacad", 500);
        await(() -> minion.starts().contains("acacacacacacacad.0.0.0#1") ? 1 : 0, 1);
        minion.enableCompletion();
        awaitState("acacacacacacacac", "completed");
        assertFalse(minion.starts().contains("acacacacacacacac.0.0.0#2"), "started again");
    }

    /**
     * Guards against a worker that starts again under its identifier and discards the ends of its
     * runs unseen, because calls for its former incarnation acknowledge their numbers before it has
     * announced itself. A task whose end is lost in this way runs twice once its lease is over.
     */
    @Test(dependsOnMethods = "shouldKeepWorkerDespiteReportsOfOtherWriters")
    public void shouldNotAcknowledgeEndsOfNextIncarnationBeforeItsAnnouncement() throws Exception {
        sendHeartbeat(2_000, 8_000);
        acknowledgeEnds("b1b1b1b1", 5);
        minion.restartProcess(3_000);
        // The announcement of the new incarnation takes up to an interval.
        Thread.sleep(900);
        sendHeartbeat(3_000, 8_000);
        submit("b2b2b2b2b2b2b2b2", 500);
        awaitState("b2b2b2b2b2b2b2b2", "completed");
        assertEquals(startCount("b2b2b2b2b2b2b2b2"), 1);
    }

    /**
     * Guards against a worker that discards the ends of its runs unseen, because a call for its
     * former incarnation is delivered after its own first one.
     */
    @Test(dependsOnMethods = "shouldNotAcknowledgeEndsOfNextIncarnationBeforeItsAnnouncement")
    public void shouldFenceCallsForFormerIncarnation() throws Exception {
        sendHeartbeat(3_000, 8_000);
        acknowledgeEnds("b3b3b3b3", 5);
        JsonFields late = minion.latestAcknowledgement();
        minion.restartProcess(4_000);
        sendHeartbeat(4_000, 8_000);
        submit("b4b4b4b4b4b4b4b4", 500);
        awaitState("b4b4b4b4b4b4b4b4", "completed");
        minion.deliverAgain(late);
        acknowledgeEnds("b5b5b5b5", 3);
        assertEquals(startCount("b5b5b5b500000000"), 1);
    }

    /**
     * Guards against an entry that stays unready, and out of rotation, although there is a leader.
     */
    @Test
    public void shouldBeReadyWithLeader() throws Exception {
        await(() -> call("GET", ports[2], "/api/readyz", "").statusCode(), 200);
    }
}
