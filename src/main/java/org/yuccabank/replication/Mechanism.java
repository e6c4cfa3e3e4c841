package org.yuccabank.replication;

/**
 * Mechanisms of the protocol that a test can switch off, to show that its checks notice the
 * absence. Production code always runs with all of them.
 */
enum Mechanism {
    /** A vote or an entry is acknowledged only after it was synced. */
    SYNC_BEFORE_ACKNOWLEDGE,
    /** A replica asks whether it could win before it raises the term. */
    PRE_VOTE,
    /** Only entries of the present term are committed by counting replicas. */
    CURRENT_TERM_COMMIT,
    /** A leader's lease is shorter than the election timeout by the allowed clock drift. */
    CLOCK_DRIFT_MARGIN,
    /** A replica that heard from a leader recently grants no vote to another. */
    LEADER_STICKINESS,
    /** A replica votes at most once in a term. */
    SINGLE_VOTE,
    /** A vote requires a log that is at least as complete as the voter's. */
    LOG_COMPLETENESS,
    /** An entry is accepted only if the log before it equals the leader's. */
    PREVIOUS_ENTRY_CHECK,
    /** A leader confirms a read with a lease or a round of heartbeats. */
    READ_CONFIRMATION,
    /** A learner becomes a voter only after it has caught up. */
    LEARNER_BEFORE_VOTER,
    /** A membership change starts only after the previous one is committed. */
    ONE_CHANGE_AT_A_TIME
}
