package org.yuccabank.policy.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/** Baseline that selects the ready targets in turn. */
public final class RoundRobinRouter extends ScanningRouter {

    private int nextIndex;

    private RoundRobinRouter() {}

    /**
     * Creates a router without targets.
     *
     * @return the router
     */
    public static RoundRobinRouter create() {
        return new RoundRobinRouter();
    }

    @Override
    Candidate choose(List<Candidate> usable, RandomGenerator random) {
        nextIndex = (nextIndex + 1) % usable.size();
        return usable.get(nextIndex);
    }
}
