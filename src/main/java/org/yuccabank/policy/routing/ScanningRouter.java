package org.yuccabank.policy.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.model.TargetId;

/**
 * Base class of the baselines for {@link TwoChoicesRouter}. They consider all ready targets and
 * keep only the latest reported load. Mutable; confined to one thread.
 */
abstract class ScanningRouter implements Router {

    private final Map<TargetId, Candidate> candidates = new LinkedHashMap<>();
    private final Map<TargetId, Integer> reportedLoads = new LinkedHashMap<>();
    private List<Candidate> ready = List.of();

    /**
     * Selects one of the usable targets.
     *
     * @param usable ready targets that were not tried, not empty
     * @param random source of random numbers
     * @return the selected target
     */
    abstract Candidate choose(List<Candidate> usable, RandomGenerator random);

    final int reportedLoad(Candidate candidate) {
        return reportedLoads.getOrDefault(candidate.target(), 0);
    }

    @Override
    public final void update(Candidate candidate, long nowMillis) {
        candidates.put(candidate.target(), candidate);
        updateReady();
    }

    @Override
    public final void remove(TargetId target) {
        candidates.remove(target);
        reportedLoads.remove(target);
        updateReady();
    }

    private void updateReady() {
        ready =
                candidates.values().stream()
                        .filter(candidate -> candidate.state() == Candidate.State.READY)
                        .toList();
    }

    @Override
    public final Optional<Route> choose(
            RouteRequest request, long nowMillis, RandomGenerator random) {
        List<Candidate> usable = ready;
        if (!request.tried().isEmpty()) {
            usable = new ArrayList<>(ready);
            usable.removeIf(candidate -> request.tried().contains(candidate.target()));
        }
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        Candidate chosen = choose(usable, random);
        return Optional.of(new Route(chosen.target(), 0, 0, 2 * chosen.oneWayMicros()));
    }

    @Override
    public final void dispatched(TargetId target, long nowMillis) {
        // The baselines ignore this entry's requests in progress.
    }

    @Override
    public final void completed(TargetId target, Response response, long nowMillis) {
        if (response.carriesLoad()) {
            reportedLoads.put(target, response.occupancy());
        }
    }
}
