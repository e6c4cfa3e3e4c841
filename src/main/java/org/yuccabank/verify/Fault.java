package org.yuccabank.verify;

/** Faults and disturbances that a schedule injects. */
enum Fault {
    /** A message was lost. */
    MESSAGE_LOST,
    /** A message was delivered twice. */
    MESSAGE_DUPLICATED,
    /** A message was delayed, so that later ones overtake it. */
    MESSAGE_DELAYED,
    /** Messages from one replica to another are lost while the opposite direction works. */
    ONE_WAY_CUT,
    /** A replica is cut off from all others for a time. */
    ISOLATION,
    /** Two replicas cannot reach each other, while others reach both. */
    PAIR_CUT,
    /** A replica crashed; unsynced writes were lost. */
    CRASH,
    /** All replicas crashed at the same time. */
    CRASH_OF_ALL,
    /** A crash left part of an unsynced record. */
    RECORD_TORN,
    /** A disk was full. */
    DISK_FULL,
    /** A disk operation failed. */
    DISK_ERROR,
    /** A sync took long. */
    DISK_SLOW,
    /** A disk was lost. */
    DISK_LOST,
    /** A process stood still longer than the lease. */
    PROCESS_PAUSED,
    /** A member was replaced by another while it was healthy. */
    MEMBER_REPLACED,
    /** Leadership was handed over on request. */
    LEADERSHIP_TRANSFERRED,
    /** A replica installed a snapshot of the leader. */
    SNAPSHOT_INSTALLED,
    /** A client sent a command again after it got no answer. */
    COMMAND_RESENT
}
