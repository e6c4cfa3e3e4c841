package org.yuccabank.verify;

import java.util.function.Function;

/**
 * How the hosts of a simulated group behave.
 *
 * @param diskFactory creates the disk of a host
 * @param blockingSync whether a replica handles no input during a sync, as in a process, where one
 *     thread does both; otherwise it may write more than once before a sync completes
 */
record HostModel(Function<Simulation, SimulatedDisk> diskFactory, boolean blockingSync) {

    /** Returns hosts with a {@link FakeDisk} whose replicas handle inputs during a sync. */
    static HostModel defaults() {
        return new HostModel(FakeDisk::new, false);
    }
}
