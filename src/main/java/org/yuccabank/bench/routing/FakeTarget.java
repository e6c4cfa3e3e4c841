package org.yuccabank.bench.routing;

import java.util.ArrayDeque;
import java.util.Queue;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Response;

/**
 * Simulated target with its agent. It runs requests in its slots, queues others up to its
 * connection limit, and records what ran. Mutable.
 */
final class FakeTarget {

    /** Behaviour of a target. */
    enum Behaviour {
        /** Serves requests normally. */
        NORMAL,
        /** Serves requests slower by {@link Load#SLOW_TARGET_FACTOR}. */
        SLOW,
        /** Accepts and answers nothing; running requests continue. */
        SILENT,
        /** Answers every request with an error immediately. */
        FAILING,
        /** The agent refuses all new requests. */
        LEAVING
    }

    private final TargetId id;
    private final int dataCentre;
    private final EventQueue events;
    private final Recorder recorder;
    private final Queue<Attempt> queued = new ArrayDeque<>();
    private Behaviour behaviour = Behaviour.NORMAL;
    private int running;
    private int inTransit;

    FakeTarget(TargetId id, int dataCentre, EventQueue events, Recorder recorder) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.events = events;
        this.recorder = recorder;
    }

    TargetId id() {
        return id;
    }

    int dataCentre() {
        return dataCentre;
    }

    Behaviour behaviour() {
        return behaviour;
    }

    void behaviour(Behaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /**
     * Returns the number of requests running, queued or in transit to the target. Only the oracle
     * may use it.
     */
    int trueLoad() {
        return running + queued.size() + inTransit;
    }

    void send(Attempt attempt, long delayMicros) {
        inTransit++;
        events.scheduleAfter(delayMicros, () -> arrive(attempt));
    }

    private void arrive(Attempt attempt) {
        inTransit--;
        switch (behaviour) {
            case SILENT -> {
                // The request is lost; the entry notices when it closes the connection.
            }
            case LEAVING -> {
                recorder.arrivedAtLeaving(events.nowMicros());
                answer(attempt, Response.refused(occupancy()));
            }
            case FAILING -> {
                recorder.runStarted(attempt.request());
                answer(attempt, new Response(Response.Kind.FAILED, occupancy(), 0));
            }
            default -> startOrEnqueue(attempt);
        }
    }

    private void startOrEnqueue(Attempt attempt) {
        if (occupancy() >= RoutingScenario.CONNECTIONS) {
            answer(attempt, Response.refused(occupancy()));
        } else if (running < RoutingScenario.SLOTS) {
            start(attempt);
        } else {
            queued.add(attempt);
        }
    }

    private void start(Attempt attempt) {
        running++;
        recorder.runStarted(attempt.request());
        double factor = behaviour == Behaviour.SLOW ? Load.SLOW_TARGET_FACTOR : 1;
        long service = (long) (attempt.request().serviceMicros() * factor);
        events.scheduleAfter(service, () -> finish(attempt, service));
    }

    private void finish(Attempt attempt, long serviceMicros) {
        running--;
        if (!queued.isEmpty()) {
            start(queued.remove());
        }
        if (behaviour != Behaviour.SILENT) {
            answer(attempt, Response.ran(occupancy(), serviceMicros));
        }
    }

    private void answer(Attempt attempt, Response response) {
        EntryDriver entry = attempt.entry();
        events.scheduleAfter(
                entry.oneWayMicros(this), () -> entry.onAttemptEnded(attempt, response));
    }

    private int occupancy() {
        return running + queued.size();
    }
}
