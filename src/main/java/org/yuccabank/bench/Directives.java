package org.yuccabank.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/** Carries directives from the scheduler to fake hosts with a delay. Not thread-safe. */
final class Directives {

    private static final int LEAST_DELAY_MILLIS = 30;
    private static final int DELAY_SPREAD_MILLIS = 60;
    private static final int LEAST_START_MILLIS = 150;
    private static final int START_SPREAD_MILLIS = 250;

    private final List<FakeHost> hosts;
    private final EventQueue events;
    private final RandomGenerator random;

    Directives(List<FakeHost> hosts, EventQueue events, RandomGenerator random) {
        this.hosts = hosts;
        this.events = events;
        this.random = random;
    }

    void start(Lease lease, long checkpointIntervalMillis, long nowMillis) {
        long arrives = nowMillis + delay();
        long ready = arrives + LEAST_START_MILLIS + random.nextInt(START_SPREAD_MILLIS);
        FakeHost host = hosts.get(lease.host);
        send(
                host,
                arrives,
                () ->
                        host.start(
                                new FakeExecution(
                                        lease.token,
                                        lease.task,
                                        lease.reservation,
                                        checkpointIntervalMillis,
                                        ready)));
    }

    void stop(int index, long token, long nowMillis) {
        FakeHost host = hosts.get(index);
        long arrives = nowMillis + delay();
        send(host, arrives, () -> host.stop(token, arrives));
    }

    void checkpointAndStop(int index, long token, long nowMillis) {
        FakeHost host = hosts.get(index);
        long arrives = nowMillis + delay();
        send(host, arrives, () -> host.checkpointAndStop(token, arrives));
    }

    void throttle(int index, long token, boolean throttled, long nowMillis) {
        FakeHost host = hosts.get(index);
        send(host, nowMillis + delay(), () -> host.throttle(token, throttled));
    }

    void answer(int index, long nowMillis) {
        FakeHost host = hosts.get(index);
        long arrives = nowMillis + delay();
        // The lease runs from the time at which the control role renewed it.
        send(host, arrives, () -> host.answered(nowMillis));
    }

    private void send(FakeHost host, long atMillis, Runnable action) {
        events.at(
                atMillis,
                () -> {
                    if (host.isReachable()) {
                        action.run();
                    }
                });
    }

    private long delay() {
        return (long) LEAST_DELAY_MILLIS + random.nextInt(DELAY_SPREAD_MILLIS);
    }
}
