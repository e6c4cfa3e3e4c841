package org.yuccabank.replication;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ReplicaMessage;

/**
 * Tests message sequences that random schedules rarely produce. Each test shows that the sequence
 * causes a violation without a mechanism and none with it.
 */
public final class ReplicaCoreTest {

    private static final ReplicaTiming TIMING = new ReplicaTiming(300, 1, 75, 10);
    private static final double SLOW_CLOCK_RATE = 0.953;
    private static final double FAST_CLOCK_RATE = 1.047;

    private double realMillis;

    private static boolean isBetween(ReplicaMessage message, String... ids) {
        return Set.of(ids).contains(message.getFrom()) && Set.of(ids).contains(message.getTo());
    }

    /** Makes a replica win an election with the votes of the reachable replicas. */
    private void elect(CoreGroup group, String id, String... reachable) {
        int attempts = 0;
        // A leader that receives no replies steps down.
        realMillis += 400;
        group.tick(id);
        while (group.core(id).state().role() != ReplicaRole.LEADER) {
            realMillis += 400;
            group.tick(id);
            group.deliver(message -> isBetween(message, reachable) && !message.hasAppendRequest());
            attempts++;
            assertTrue(attempts < 10, "replica did not win an election: " + id);
        }
    }

    private boolean readsStaleAfterDrift(ReplicaOptions options) {
        realMillis = 0;
        CoreGroup group =
                new CoreGroup(
                        List.of("a", "b", "c"),
                        TIMING,
                        options,
                        id ->
                                (long)
                                        (realMillis
                                                * (id.equals("a")
                                                        ? SLOW_CLOCK_RATE
                                                        : FAST_CLOCK_RATE)));
        elect(group, "a", "a", "b", "c");
        realMillis += 100;
        group.tick("a");
        group.deliver(message -> true);
        group.tick("a");
        group.deliver(message -> true);
        for (int step = 0; step < 1000 && !group.core("b").isReadyLeader(); step++) {
            realMillis += 1;
            group.tick("b");
            group.deliver(message -> isBetween(message, "b", "c"));
        }
        group.propose("b", "y");
        group.deliver(message -> isBetween(message, "b", "c"));
        assertEquals(group.committed("b"), List.of("y"));
        int before = group.reads("a");
        group.read("a");
        group.deliver(message -> isBetween(message, "b", "c"));
        return group.reads("a") > before;
    }

    /** Guards against a lease that outlasts the election timeout of replicas with faster clocks. */
    @Test
    public void shouldEndLeaseBeforeFasterClocksElect() {
        assertTrue(readsStaleAfterDrift(ReplicaOptions.without(Mechanism.CLOCK_DRIFT_MARGIN)));
        assertFalse(readsStaleAfterDrift(ReplicaOptions.all()));
    }

    /** Returns whether the lease confirms a read after the clocks of the leader have changed. */
    private boolean readsWithLease(ReplicaOptions options, long wallStepMillis) {
        realMillis = 0;
        CoreGroup group =
                new CoreGroup(List.of("a", "b", "c"), TIMING, options, id -> (long) realMillis);
        elect(group, "a", "a", "b", "c");
        group.core("a").observeClocks((long) realMillis, 0);
        realMillis += 100;
        group.tick("a");
        group.deliver(message -> true);
        realMillis += 10;
        group.core("a").observeClocks((long) realMillis, 110 + wallStepMillis);
        group.read("a");
        group.deliver(message -> false);
        boolean confirmed = group.reads("a") == 1;
        group.read("a");
        group.deliver(message -> true);
        assertEquals(group.reads("a"), 2, "a heartbeat round must confirm the reads");
        return confirmed;
    }

    /** Guards against a lease that outlasts a suspension, and against reads that a step stops. */
    @Test
    public void shouldEndLeaseWhenClocksDiverge() {
        ReplicaOptions without = ReplicaOptions.without(Mechanism.CLOCK_COMPARISON);
        for (long stepMillis : new long[] {400, -400}) {
            assertTrue(readsWithLease(without, stepMillis));
            assertFalse(readsWithLease(ReplicaOptions.all(), stepMillis));
        }
        assertTrue(readsWithLease(ReplicaOptions.all(), ClockComparison.TOLERANCE_MILLIS));
    }

    private boolean readsStaleWithTwoLeaders(ReplicaOptions options) {
        realMillis = 0;
        CoreGroup group =
                new CoreGroup(List.of("a", "b", "c"), TIMING, options, id -> (long) realMillis);
        elect(group, "a", "a", "b", "c");
        realMillis += 100;
        group.tick("a");
        group.deliver(message -> true);
        for (int step = 0; step < 302; step++) {
            realMillis += 1;
            group.tick("a");
            group.deliver(message -> isBetween(message, "a", "c"));
        }
        group.tick("b");
        group.deliver(message -> isBetween(message, "b", "c"));
        group.propose("b", "y");
        group.deliver(message -> isBetween(message, "b", "c"));
        int before = group.reads("a");
        group.read("a");
        group.deliver(message -> isBetween(message, "b", "c"));
        assertTrue(
                group.reads("a") > before,
                "the old leader must still confirm reads with its lease");
        return group.committed("b").contains("y");
    }

    /** Guards against voters that elect another leader while the current one holds a lease. */
    @Test
    public void shouldRefuseVotesWhileLeaderHoldsLease() {
        assertTrue(readsStaleWithTwoLeaders(ReplicaOptions.without(Mechanism.LEADER_STICKINESS)));
        assertFalse(readsStaleWithTwoLeaders(ReplicaOptions.all()));
    }

    /** Replicates an entry of an earlier term to a majority, then elects a leader without it. */
    private boolean losesCommittedEntry(ReplicaOptions options) {
        realMillis = 0;
        String[] all = {"a", "b", "c", "d", "e"};
        CoreGroup group = new CoreGroup(List.of(all), TIMING, options, id -> (long) realMillis);
        elect(group, "a", all);
        realMillis += 80;
        group.tick("a");
        group.deliver(message -> true);
        group.propose("a", "entry");
        long index = group.core("a").state().log().lastIndex();
        group.deliver(message -> isBetween(message, "a", "b"));
        elect(group, "e", "c", "d", "e");
        elect(group, "a", "a", "b", "c");
        for (int round = 0; round < 5; round++) {
            realMillis += 80;
            group.tick("a");
            group.deliver(
                    message -> isBetween(message, "a", "b", "c") && !carriesAfter(message, index));
        }
        boolean committed = group.committed("a").contains("entry");
        elect(group, "e", "b", "c", "d", "e");
        return committed;
    }

    private static boolean carriesAfter(ReplicaMessage message, long index) {
        return message.getAppendRequest().getEntriesList().stream()
                .anyMatch(entry -> entry.getIndex() > index);
    }

    /** Guards against committing an entry of an earlier term by counting replicas. */
    @Test
    public void shouldCommitEntriesOfEarlierTermsOnlyThroughCurrentTerm() {
        assertTrue(losesCommittedEntry(ReplicaOptions.without(Mechanism.CURRENT_TERM_COMMIT)));
        assertFalse(losesCommittedEntry(ReplicaOptions.all()));
    }
}
