package org.yuccabank.replication;

/** Role of a replica in its group. */
public enum ReplicaRole {
    /** Receives the log without a vote. */
    LEARNER,
    /** Receives the log and votes. */
    FOLLOWER,
    /** Asks whether it could win an election, without raising the term. */
    PRE_CANDIDATE,
    /** Asks for votes in a new term. */
    CANDIDATE,
    /** Accepts commands. */
    LEADER,
    /** Stopped, by request or because its disk failed. */
    STOPPED
}
