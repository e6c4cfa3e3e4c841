package org.yuccabank.policy.eviction;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;

/** Chooses batch tasks that give up their room for an urgent task. Pure. */
public final class Preemption {

    private Preemption() {}

    /**
     * The tasks to stop on one host.
     *
     * @param tasks tasks to stop
     * @param atRiskMillis work that is lost
     */
    public record Victims(List<TaskId> tasks, long atRiskMillis) {}

    /**
     * Chooses the fewest tasks, those with least work at risk first.
     *
     * @param needed room that the urgent task needs
     * @param free room that the host has
     * @param candidates batch tasks on the host
     * @return the tasks to stop, empty if even all of them do not suffice
     */
    public static Optional<Victims> choose(
            Resources needed, Resources free, List<EvictionCandidate> candidates) {
        List<EvictionCandidate> byLostWork =
                candidates.stream()
                        .sorted(
                                Comparator.comparingLong(EvictionCandidate::atRiskMillis)
                                        .thenComparing(EvictionCandidate::task))
                        .toList();
        for (EvictionCandidate single : byLostWork) {
            if (needed.fitsWithin(free.plus(single.reservation()))) {
                return Optional.of(new Victims(List.of(single.task()), single.atRiskMillis()));
            }
        }
        List<TaskId> chosen = new ArrayList<>();
        Resources room = free;
        long atRisk = 0;
        for (EvictionCandidate candidate : byLostWork) {
            room = room.plus(candidate.reservation());
            atRisk += candidate.atRiskMillis();
            chosen.add(candidate.task());
            if (needed.fitsWithin(room)) {
                return Optional.of(new Victims(List.copyOf(chosen), atRisk));
            }
        }
        return Optional.empty();
    }
}
