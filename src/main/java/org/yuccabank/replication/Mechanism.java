package org.yuccabank.replication;

/**
 * Mechanisms of the replication protocol that tests can disable in order to show that their checks
 * detect the resulting violations. Production code always enables all of them.
 */
enum Mechanism {
    /** A vote or an entry is acknowledged only after it is synced. */
    SYNC_BEFORE_ACKNOWLEDGE,
    /** A replica requests pre-votes before it increments the term. */
    PRE_VOTE,
    /** Only entries of the current term are committed by counting replicas. */
    CURRENT_TERM_COMMIT,
    /** A leader's lease is shorter than the election timeout by the allowed clock drift. */
    CLOCK_DRIFT_MARGIN,
    /** A leader's lease ends when its steady clock and its time of day have diverged. */
    CLOCK_COMPARISON,
    /** A replica that recently heard from a leader does not vote for another one. */
    LEADER_STICKINESS,
    /** A replica votes at most once in a term. */
    SINGLE_VOTE,
    /** A vote is granted only if the candidate's log is at least as up to date as the voter's. */
    LOG_COMPLETENESS,
    /** An entry is accepted only if the preceding log matches the leader's. */
    PREVIOUS_ENTRY_CHECK,
    /** A leader confirms a read with its lease or a heartbeat round. */
    READ_CONFIRMATION,
    /** A learner is promoted to a voter only after it has caught up. */
    LEARNER_BEFORE_VOTER,
    /** A membership change starts only after the previous one is committed. */
    ONE_CHANGE_AT_A_TIME
}
