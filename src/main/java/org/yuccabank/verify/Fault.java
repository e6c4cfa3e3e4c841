package org.yuccabank.verify;

/** Faults and other events that a schedule injects or counts. */
enum Fault {
    /** A message was lost. */
    MESSAGE_LOST,
    /** A message was delivered twice. */
    MESSAGE_DUPLICATED,
    /** A message was delayed, so that later messages can overtake it. */
    MESSAGE_DELAYED,
    /** All messages from or to a replica were lost, while the opposite direction worked. */
    ONE_WAY_CUT,
    /** A replica was temporarily isolated from all others. */
    ISOLATION,
    /** Two replicas could not reach each other, while others reached both. */
    PAIR_CUT,
    /** A replica crashed and lost unsynced writes. */
    CRASH,
    /** All replicas crashed at the same time. */
    CRASH_OF_ALL,
    /** A crash kept part of an unsynced record. */
    RECORD_TORN,
    /** A disk was full. */
    DISK_FULL,
    /** A disk operation failed. */
    DISK_ERROR,
    /** A sync was slow. */
    DISK_SLOW,
    /** A disk was lost. */
    DISK_LOST,
    /** A process was paused for a random time, which may exceed the lease. */
    PROCESS_PAUSED,
    /** A host was suspended, so that its steady clock stood still while the others went on. */
    HOST_SUSPENDED,
    /** The time of day of a host was stepped. */
    WALL_CLOCK_STEPPED,
    /** A healthy member was replaced. */
    MEMBER_REPLACED,
    /** Leadership was transferred on request. */
    LEADERSHIP_TRANSFERRED,
    /** A replica installed a snapshot from the leader. */
    SNAPSHOT_INSTALLED,
    /** A client resent an operation after a request timeout. */
    COMMAND_RESENT
}
