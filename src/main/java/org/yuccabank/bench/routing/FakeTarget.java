package org.yuccabank.bench.routing;

import java.util.ArrayDeque;
import java.util.Queue;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Response;

/**
 * A target with its agent: runs requests in its slots, lets others wait up to its connections, and
 * records what ran. Mutable.
 */
final class FakeTarget {

    /** How the target behaves. */
    enum Behaviour {
        /** Serves. */
        NORMAL,
        /** Serves slower by {@link Load#SLOW_TARGET_FACTOR}. */
        SLOW,
        /** Takes and answers nothing; what runs goes on. */
        SILENT,
        /** Answers every request with an error at once. */
        FAILING,
        /** Its agent refuses all new requests. */
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

    /** Requests that run, wait or are on their way here; only the oracle may look. */
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
                // Nothing arrives; the entry finds out when it closes the connection.
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
