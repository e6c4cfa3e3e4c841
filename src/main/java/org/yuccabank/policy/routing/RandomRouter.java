package org.yuccabank.policy.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/** Baseline that selects a ready target at random with equal probability. */
public final class RandomRouter extends ScanningRouter {

    private RandomRouter() {}

    /**
     * Creates a router without targets.
     *
     * @return the router
     */
    public static RandomRouter create() {
        return new RandomRouter();
    }

    @Override
    Candidate choose(List<Candidate> usable, RandomGenerator random) {
        return usable.get(random.nextInt(usable.size()));
    }
}
