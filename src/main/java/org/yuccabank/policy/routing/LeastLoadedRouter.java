package org.yuccabank.policy.routing;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Baseline: the ready target with the least load in its latest report, which several entries follow
 * at the same time.
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
