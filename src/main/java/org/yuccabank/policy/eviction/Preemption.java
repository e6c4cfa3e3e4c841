package org.yuccabank.policy.eviction;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;

/** Selects batch tasks to stop in favour of an urgent task. Stateless. */
public final class Preemption {

    private Preemption() {}

    /**
     * The tasks to stop on one host.
     *
     * @param tasks tasks to stop
     * @param atRiskMillis run time that is lost
     */
    public record Victims(List<TaskId> tasks, long atRiskMillis) {}

    /**
     * Selects the single task with the least work at risk that frees enough resources, or otherwise
     * adds tasks in order of work at risk.
     *
     * @param needed resources that the urgent task needs
     * @param free free resources of the host
     * @param candidates batch tasks on the host
     * @return the tasks to stop, empty if stopping all of them would not suffice
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
