package org.yuccabank.verify;

import java.util.function.Function;

/**
 * How the hosts of a simulated group behave.
 *
 * @param diskFactory creates the disk of a host
 * @param blockingSync whether a replica handles no input during a sync, as in a process, where one
 *     thread does both; otherwise it may write more than once before a sync completes
 * @param maximumSyncMicros maximum time of a sync, apart from occasional slow ones; shorter if the
 *     plan has fast I/O
 */
record HostModel(
        Function<Simulation, SimulatedDisk> diskFactory,
        boolean blockingSync,
        long maximumSyncMicros) {

    /** Maximum time of a sync of a fast disk. */
    static final long FAST_SYNC_MICROS = 3_000;

    /** Longer than it takes to send a message and its answer. */
    static final long SLOW_SYNC_MICROS = 30_000;

    /** Returns hosts with a {@link FakeDisk} whose replicas handle inputs during a sync. */
    static HostModel defaults() {
        return new HostModel(FakeDisk::new, false, FAST_SYNC_MICROS);
    }
}
