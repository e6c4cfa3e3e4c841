package org.yuccabank.platform;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import org.yuccabank.agent.workflow.WorkerApi.CallOutcome;
import org.yuccabank.agent.workflow.WorkerApi.ListOutcome;
import org.yuccabank.protocol.generated.WorkerIdentity;

/** Tests how the client of the worker takes failures. */
public final class MinionClientTest {

    /**
     * Guards against a run that counts as started on an incarnation, although the next one has
     * started it.
     */
    @Test
    public void shouldNotTakeAnswerOfOtherIncarnationForOutcome() {
        WorkerIdentity worker = WorkerIdentity.newBuilder().setBornMillis(7).build();
        byte[] same = "{\"clock_ms\":1,\"born\":7}".getBytes(StandardCharsets.UTF_8);
        byte[] other = "{\"clock_ms\":1,\"born\":8}".getBytes(StandardCharsets.UTF_8);
        byte[] unnamed = "{\"clock_ms\":1}".getBytes(StandardCharsets.UTF_8);
        assertTrue(MinionClient.toOutcome(200, same, worker) instanceof CallOutcome.Done);
        assertTrue(MinionClient.toOutcome(200, unnamed, worker) instanceof CallOutcome.Done);
        assertTrue(MinionClient.toOutcome(200, other, worker) instanceof CallOutcome.Unanswered);
    }

    /**
     * Guards against a leaving worker that counts as ended, so that its tasks start elsewhere,
     * because a connection to it was not opened in time.
     */
    @Test
    public void shouldTakeOnlyRefusedConnectionForEndOfWorker() {
        assertTrue(
                MinionClient.toListFailure(new ConnectTimeoutException("timed out"))
                        instanceof ListOutcome.Unavailable);
        assertTrue(
                MinionClient.toListFailure(new ConnectException("refused"))
                        instanceof ListOutcome.NotListening);
    }

    private static boolean isComplete(String listing) {
        WorkerIdentity worker =
                WorkerIdentity.newBuilder().setWorkerId("w").setBornMillis(5).build();
        byte[] body = listing.getBytes(StandardCharsets.UTF_8);
        return ((ListOutcome.Listing) MinionClient.toListing(200, body, worker)).complete();
    }

    private static String listing(int ends) {
        String finished =
                IntStream.rangeClosed(1, ends)
                        .mapToObj(
                                number ->
                                        "[" + number + ",\"a.0.0." + number + "\",1,\"done\",\"\"]")
                        .collect(Collectors.joining(","));
        return "{\"born\":5,\"clock_ms\":9,\"running\":[],\"finished\":[" + finished + "]}";
    }

    /**
     * Guards against conclusions from the absence of a run from a list that is truncated at 500
     * ends.
     */
    @Test
    public void shouldTakeListWithMaximumNumberOfEndsForIncomplete() {
        assertTrue(isComplete(listing(0)));
        assertTrue(isComplete(listing(MinionClient.MAXIMUM_LISTED_ENDS - 1)));
        assertFalse(isComplete(listing(MinionClient.MAXIMUM_LISTED_ENDS)));
    }

    /**
     * Guards against taking an answer that lacks a list, or a row of it, for a list without runs.
     */
    @Test
    public void shouldTakeListThatCannotBeReadForIncomplete() {
        assertFalse(isComplete("{\"born\":5,\"clock_ms\":9,\"finished\":[]}"));
        assertFalse(isComplete("{\"born\":5,\"clock_ms\":9,\"running\":[],\"finished\":{}}"));
        assertFalse(isComplete(listing(3).replace("[2,", "[\"2\",")));
        assertFalse(
                isComplete(
                        "{\"born\":5,\"clock_ms\":9,\"running\":[[\"a.0.0.0\",\"1\"]],"
                                + "\"finished\":[]}"));
    }
}
