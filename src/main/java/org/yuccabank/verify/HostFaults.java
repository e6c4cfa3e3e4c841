package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Injects faults of hosts and their disks within a tolerance. A host is lost while a fault lasts
 * and until it has had time to catch up. Plans with overlapping faults bound only the number of
 * lost disks; service may then be suspended while hosts are lost. Not thread-safe.
 */
final class HostFaults {

    /** Time for which a host that is back still counts as lost, from the requirements. */
    static final long CATCH_UP_MILLIS = 4_000;

    /** Bounds the time from a loss of power or of a process until it is started again. */
    static final long MAXIMUM_DOWNTIME_MILLIS = 1_500;

    private static final long MAXIMUM_FAULT_MILLIS = 2_500;
    private static final long MAXIMUM_INTERVAL_MILLIS = 900;
    private static final long DISK_ERROR_WITHIN_MILLIS = 500;
    private static final int DISK_ERROR_WITHIN_OPERATIONS = 20;

    private final SimulatedGroup group;
    private final Simulation simulation;
    private final RandomGenerator random;
    private final List<SimulatedHost> hosts;
    private final boolean overlapping;
    private boolean stopped;

    HostFaults(SimulatedGroup group, List<SimulatedHost> hosts, boolean overlapping) {
        this.group = group;
        this.hosts = hosts;
        this.overlapping = overlapping;
        simulation = group.simulation();
        random = simulation.random();
    }

    private int tolerance() {
        return (hosts.size() - 1) / 2;
    }

    void start() {
        simulation.scheduleMillis(
                random.nextLong(MAXIMUM_INTERVAL_MILLIS) + 1,
                () -> {
                    if (!stopped) {
                        inject(random.nextInt(9));
                        start();
                    }
                });
    }

    /** Loses the tolerated number of disks while all other hosts lose power. */
    void injectFinalFault() {
        stopped = true;
        List<SimulatedHost> lost = chooseLostHosts();
        for (SimulatedHost host : hosts) {
            if (lost.contains(host)) {
                loseDisk(host, random.nextBoolean());
            } else {
                host.replica().losePower();
            }
        }
        clear();
    }

    private void clear() {
        group.disableFaults();
        group.network().clearFaults();
        group.replicas().forEach(replica -> replica.disk().clearFaults());
    }

    /** Returns the hosts that count as lost already, and others at random or the oldest ones. */
    private List<SimulatedHost> chooseLostHosts() {
        long now = simulation.nowMillis();
        List<SimulatedHost> lost = new ArrayList<>();
        hosts.stream().filter(host -> countsAsLost(host, now)).forEach(lost::add);
        List<SimulatedHost> others = new ArrayList<>(hosts);
        others.removeAll(lost);
        if (random.nextBoolean()) {
            others.sort(Comparator.comparingInt(host -> host.replica().number()));
        } else {
            others.sort(Comparator.comparingLong(host -> random.nextLong()));
        }
        int free = Math.max(0, tolerance() - lost.size());
        lost.addAll(others.subList(0, free));
        return lost;
    }

    private boolean countsAsLost(SimulatedHost host, long now) {
        return overlapping ? host.isDiskLost(now) : host.isLost(now);
    }

    private void inject(int choice) {
        if (choice == 0) {
            loseAllPower();
            return;
        }
        long now = simulation.nowMillis();
        SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
        boolean disk = choice <= 2;
        if (!isWithinTolerance(host, disk, now)) {
            return;
        }
        switch (choice) {
            case 1, 2 -> loseDisk(host, choice == 1);
            case 3 -> host.replica().losePower();
            case 4 -> fillDisk(host);
            case 5 -> failDisk(host);
            case 6 -> {
                simulation.countFault(Fault.DISK_SLOW);
                host.replica().pause(random.nextLong(MAXIMUM_FAULT_MILLIS) + 1);
            }
            default -> isolate(host);
        }
        recordLoss(host, now + MAXIMUM_FAULT_MILLIS + MAXIMUM_DOWNTIME_MILLIS + CATCH_UP_MILLIS);
    }

    private boolean isWithinTolerance(SimulatedHost host, boolean disk, long now) {
        long others =
                hosts.stream()
                        .filter(each -> each != host)
                        .filter(each -> countsAsLost(each, now))
                        .count();
        return others < tolerance() || (overlapping && !disk);
    }

    /** Records a loss. If too many hosts are lost, lost disks are replaced only after it. */
    private void recordLoss(SimulatedHost host, long untilMillis) {
        long now = simulation.nowMillis();
        host.recordLoss(untilMillis);
        if (hosts.stream().filter(each -> each.isLost(now)).count() > tolerance()) {
            delayReplacements(untilMillis);
        }
    }

    private void delayReplacements(long untilMillis) {
        long now = simulation.nowMillis();
        hosts.stream()
                .filter(each -> each.isDiskLost(now))
                .forEach(
                        each -> {
                            each.recordDiskLoss(untilMillis);
                            each.recordLoss(untilMillis);
                        });
    }

    private void loseAllPower() {
        simulation.countFault(Fault.CRASH_OF_ALL);
        hosts.forEach(host -> host.replica().losePower());
        delayReplacements(simulation.nowMillis() + MAXIMUM_DOWNTIME_MILLIS + CATCH_UP_MILLIS);
    }

    private void loseDisk(SimulatedHost host, boolean newAddress) {
        boolean newId = group.options().newIdAfterDiskLoss();
        if (host.replica().isRetired()) {
            return;
        }
        simulation.countFault(newAddress ? Fault.MEMBER_REPLACED : Fault.DISK_LOST);
        host.replica().loseDisk(newId);
        long downtimeMillis = random.nextLong(MAXIMUM_DOWNTIME_MILLIS) + 1;
        host.recordDiskLoss(simulation.nowMillis() + downtimeMillis + CATCH_UP_MILLIS);
        if (newId) {
            simulation.scheduleMillis(
                    downtimeMillis,
                    () -> {
                        SimulatedReplica successor = group.startReplica(List.of());
                        host.setReplica(successor, newAddress ? successor.id() : host.address());
                        group.takeOver(host.address(), successor);
                    });
        }
    }

    private void fillDisk(SimulatedHost host) {
        SimulatedDisk disk = host.replica().disk();
        disk.setFull(true);
        simulation.scheduleMillis(random.nextLong(MAXIMUM_FAULT_MILLIS) + 1, disk::clearFaults);
    }

    private void failDisk(SimulatedHost host) {
        SimulatedDisk disk = host.replica().disk();
        disk.failAfter(random.nextInt(DISK_ERROR_WITHIN_OPERATIONS));
        simulation.scheduleMillis(DISK_ERROR_WITHIN_MILLIS, disk::clearFaults);
    }

    private void isolate(SimulatedHost host) {
        simulation.countFault(Fault.ISOLATION);
        String id = host.replica().id();
        List<String> others = new ArrayList<>(group.activeReplicaIds());
        others.remove(id);
        others.forEach(
                other -> {
                    group.network().block(id, other);
                    group.network().block(other, id);
                });
        simulation.scheduleMillis(
                random.nextLong(MAXIMUM_FAULT_MILLIS) + 1,
                () ->
                        others.forEach(
                                other -> {
                                    group.network().unblock(id, other);
                                    group.network().unblock(other, id);
                                }));
    }
}
