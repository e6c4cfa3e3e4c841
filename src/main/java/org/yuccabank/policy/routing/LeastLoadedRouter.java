package org.yuccabank.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Baseline that selects the ready target with the lowest latest reported load. Several entries
 * acting on the same reports may select the same target at once.
 */
public final class LeastLoadedRouter extends ScanningRouter {

    private LeastLoadedRouter() {}

    /**
     * Creates a router without targets.
     *
     * @return the router
     */
    public static LeastLoadedRouter create() {
        return new LeastLoadedRouter();
    }

    @Override
    Candidate choose(List<Candidate> usable, RandomGenerator random) {
        return usable.stream().min(Comparator.comparingInt(this::reportedLoad)).orElseThrow();
    }
}
