package org.yuccabank.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.yuccabank.protocol.generated.Invoke;

/**
 * The queued and running requests of the target: at most {@code slots} requests run, and at most
 * {@code connections} run or wait. Waiting requests are ordered by priority, then by arrival.
 *
 * <p>Not thread-safe.
 */
final class RequestQueue {

    /** A request that waits or runs. */
    record AdmittedRequest(
            long requestNumber, Invoke request, long deadlineAtMillis, long startedAtMillis) {

        AdmittedRequest started(long nowMillis) {
            return new AdmittedRequest(requestNumber, request, deadlineAtMillis, nowMillis);
        }

        int priority() {
            return request.getPriority();
        }
    }

    private final PriorityQueue<AdmittedRequest> waiting =
            new PriorityQueue<>(RequestQueue::byPriorityThenArrival);
    private final Map<Long, AdmittedRequest> running = new HashMap<>();
    private int slots;
    private int connections;

    void setLimits(int newSlots, int newConnections) {
        slots = newSlots;
        connections = newConnections;
    }

    private static int byPriorityThenArrival(AdmittedRequest one, AdmittedRequest other) {
        int byPriority = Integer.compare(other.priority(), one.priority());
        return byPriority != 0
                ? byPriority
                : Long.compare(one.requestNumber(), other.requestNumber());
    }

    boolean hasCapacity() {
        return admittedCount() < connections;
    }

    void add(AdmittedRequest admitted) {
        waiting.add(admitted);
    }

    /** Moves the first waiting request to the running ones and returns it, if a slot is free. */
    Optional<AdmittedRequest> startNext(long nowMillis) {
        if (running.size() >= slots || waiting.isEmpty()) {
            return Optional.empty();
        }
        AdmittedRequest admitted = waiting.remove().started(nowMillis);
        running.put(admitted.requestNumber(), admitted);
        return Optional.of(admitted);
    }

    /** Removes and returns the waiting requests whose deadline has passed. */
    List<AdmittedRequest> removeExpired(long nowMillis) {
        List<AdmittedRequest> expired = new ArrayList<>();
        for (AdmittedRequest admitted : waiting) {
            if (admitted.deadlineAtMillis() <= nowMillis) {
                expired.add(admitted);
            }
        }
        waiting.removeAll(expired);
        return expired;
    }

    Optional<AdmittedRequest> finish(long requestNumber) {
        return Optional.ofNullable(running.remove(requestNumber));
    }

    /** Returns the number of requests that run or wait. */
    int admittedCount() {
        return running.size() + waiting.size();
    }

    int slots() {
        return slots;
    }
}
