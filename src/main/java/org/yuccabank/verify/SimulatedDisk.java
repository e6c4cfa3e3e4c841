package org.yuccabank.verify;

import org.yuccabank.replication.StorageDirectory;

/** Disk of a simulated replica, whose faults a schedule injects. Not thread-safe. */
interface SimulatedDisk extends StorageDirectory {

    /** Makes each write fail for lack of space, or ends that. */
    void setFull(boolean full);

    /** Makes one operation fail after the given number of successful ones. */
    void failAfter(int operations);

    /** Makes the disk writable and cancels a scheduled failure. */
    void clearFaults();

    /** Loses power: all or part of what is not durable is lost. */
    void crash();

    @Override
    default void close() {}
}
