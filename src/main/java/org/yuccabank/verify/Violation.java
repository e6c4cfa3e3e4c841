package org.yuccabank.verify;

/**
 * Violation of a property.
 *
 * @param property the violated property
 * @param seed seed that replays the schedule
 * @param detail description of the violation
 */
record Violation(Property property, long seed, String detail) {

    /** Properties that are checked. */
    enum Property {
        /** Each term has at most one leader. */
        ONE_LEADER_PER_TERM,
        /** Two logs with the same term at an index are equal up to that index. */
        LOG_MATCHING,
        /** A leader's log contains every committed entry. */
        COMMITTED_ENTRIES_KEPT,
        /** All replicas apply the same commands in the same order. */
        EQUAL_ORDER,
        /** A confirmed read reflects every write that was acknowledged before it. */
        NO_STALE_READ,
        /** The history of the clients is linearizable. */
        LINEARIZABLE,
        /** Of several operators that state the same rules version, exactly one succeeds. */
        ONE_WINNER,
        /** The return of an isolated replica does not depose a healthy leader. */
        LEADER_UNDISTURBED,
        /** A learner becomes a voter only after it has caught up with the log. */
        VOTER_CAUGHT_UP,
        /** After all faults have ended, every operation completes and all replicas converge. */
        PROGRESS,
        /** A replica can restart after a crash. */
        RESTARTS,
        /** No replica detects an inconsistency in its input. */
        NO_CONTRADICTION
    }

    /** Returns the command line that replays the schedule. */
    String replayCommand() {
        return "target/yuccabank verify --schedules 1 --seed " + seed;
    }
}
