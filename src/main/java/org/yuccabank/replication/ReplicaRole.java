package org.yuccabank.replication;

/** Role of a replica in its group. */
public enum ReplicaRole {
    /** Receives the log but does not vote. */
    LEARNER,
    /** Receives the log and votes. */
    FOLLOWER,
    /** Requests pre-votes to determine whether it could win, without incrementing the term. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Accepts commands and replicates the log. */
    LEADER,
    /** Stopped on request or after a disk failure or an internal error. */
    STOPPED
}
