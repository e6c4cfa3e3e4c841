package org.yuccabank.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.yuccabank.protocol.generated.Invoke;

/**
 * Slots and connections of the target: at most {@code slots} requests run, and at most {@code
 * connections} run or wait. Waiting requests are ordered by priority, then by arrival.
 *
 * <p>Not thread-safe.
 */
final class RequestGate {

    /** A request that this agent holds. */
    record Held(long ticket, Invoke request, long deadlineAtMillis, long startedAtMillis) {

        Held started(long nowMillis) {
            return new Held(ticket, request, deadlineAtMillis, nowMillis);
        }

        int priority() {
            return request.getPriority();
        }
    }

    private final PriorityQueue<Held> waiting = new PriorityQueue<>(RequestGate::order);
    private final Map<Long, Held> running = new HashMap<>();
    private int slots;
    private int connections;

    void setLimits(int newSlots, int newConnections) {
        slots = newSlots;
        connections = newConnections;
    }

    private static int order(Held one, Held other) {
        int byPriority = Integer.compare(other.priority(), one.priority());
        return byPriority != 0 ? byPriority : Long.compare(one.ticket(), other.ticket());
    }

    boolean hasRoom() {
        return held() < connections;
    }

    void add(Held held) {
        waiting.add(held);
    }

    /** Takes the next request to run, if a slot is free. */
    Optional<Held> next(long nowMillis) {
        if (running.size() >= slots || waiting.isEmpty()) {
            return Optional.empty();
        }
        Held held = waiting.remove().started(nowMillis);
        running.put(held.ticket(), held);
        return Optional.of(held);
    }

    /** Takes out the waiting requests whose deadline has passed. */
    List<Held> removeLate(long nowMillis) {
        List<Held> late = new ArrayList<>();
        for (Held held : waiting) {
            if (held.deadlineAtMillis() <= nowMillis) {
                late.add(held);
            }
        }
        waiting.removeAll(late);
        return late;
    }

    Optional<Held> finish(long ticket) {
        return Optional.ofNullable(running.remove(ticket));
    }

    /** Requests that run or wait. */
    int held() {
        return running.size() + waiting.size();
    }

    int slots() {
        return slots;
    }
}
