package org.yuccabank.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Delivers directives from the scheduler to simulated hosts after a random delay. Directives that
 * arrive at an unreachable host are lost. Not thread-safe.
 */
final class DirectiveSender {

    private static final int MINIMUM_DELAY_MILLIS = 30;
    private static final int DELAY_JITTER_MILLIS = 60;
    private static final int MINIMUM_START_MILLIS = 150;
    private static final int START_JITTER_MILLIS = 250;

    private final List<FakeHost> hosts;
    private final EventQueue events;
    private final RandomGenerator random;

    DirectiveSender(List<FakeHost> hosts, EventQueue events, RandomGenerator random) {
        this.hosts = hosts;
        this.events = events;
        this.random = random;
    }

    void start(Lease lease, long checkpointIntervalMillis, long nowMillis) {
        long arrivalMillis = nowMillis + randomDelayMillis();
        long readyMillis =
                arrivalMillis + MINIMUM_START_MILLIS + random.nextInt(START_JITTER_MILLIS);
        FakeHost host = hosts.get(lease.hostIndex);
        send(
                host,
                arrivalMillis,
                () ->
                        host.start(
                                new FakeExecution(
                                        lease.token,
                                        lease.task,
                                        lease.reservation,
                                        checkpointIntervalMillis,
                                        readyMillis)));
    }

    void stop(int hostIndex, long token, long nowMillis) {
        FakeHost host = hosts.get(hostIndex);
        long arrivalMillis = nowMillis + randomDelayMillis();
        send(host, arrivalMillis, () -> host.stop(token, arrivalMillis));
    }

    void checkpointAndStop(int hostIndex, long token, long nowMillis) {
        FakeHost host = hosts.get(hostIndex);
        long arrivalMillis = nowMillis + randomDelayMillis();
        send(host, arrivalMillis, () -> host.checkpointAndStop(token, arrivalMillis));
    }

    void throttle(int hostIndex, long token, boolean throttled, long nowMillis) {
        FakeHost host = hosts.get(hostIndex);
        send(host, nowMillis + randomDelayMillis(), () -> host.throttle(token, throttled));
    }

    void renewLeases(int hostIndex, long nowMillis) {
        FakeHost host = hosts.get(hostIndex);
        long arrivalMillis = nowMillis + randomDelayMillis();
        // A lease is valid from its renewal by the control role, not from the arrival here.
        send(host, arrivalMillis, () -> host.renewLeases(nowMillis));
    }

    private void send(FakeHost host, long atMillis, Runnable action) {
        events.scheduleAt(
                atMillis,
                () -> {
                    if (host.isReachable()) {
                        action.run();
                    }
                });
    }

    private long randomDelayMillis() {
        return (long) MINIMUM_DELAY_MILLIS + random.nextInt(DELAY_JITTER_MILLIS);
    }
}
