package org.yuccabank.verify;

/**
 * A broken property.
 *
 * @param property the property
 * @param seed seed of the schedule, which replays it
 * @param detail what was seen
 */
record Violation(Property property, long seed, String detail) {

    /** Properties that are checked. */
    enum Property {
        /** A term has at most one leader. */
        ONE_LEADER_PER_TERM,
        /** Two logs with an equal entry at a position are equal before it. */
        LOG_MATCHING,
        /** A leader's log contains every committed entry. */
        COMMITTED_ENTRIES_KEPT,
        /** All replicas apply the same commands in the same order. */
        EQUAL_ORDER,
        /** A confirmed read sees everything that was acknowledged before it. */
        NO_STALE_READ,
        /** The history of the clients is linearizable. */
        LINEARIZABLE,
        /** Exactly one of several operators with the same version number succeeds. */
        ONE_WINNER,
        /** A healthy leader is not disturbed by a replica that was isolated. */
        LEADER_UNDISTURBED,
        /** Only a learner that has caught up becomes a voter. */
        VOTER_CAUGHT_UP,
        /** After all faults have ended, every command is answered and all replicas agree. */
        PROGRESS,
        /** A replica can be started again after a crash. */
        RESTARTS,
        /** No replica finds a contradiction in what it receives. */
        NO_CONTRADICTION
    }

    /** The command that replays the schedule. */
    String replayCommand() {
        return "target/yuccabank verify --schedules 1 --seed " + seed;
    }
}
