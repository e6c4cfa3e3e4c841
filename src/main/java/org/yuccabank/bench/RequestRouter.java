package org.yuccabank.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the instance that serves a request. Interface between the benchmark and routing policies.
 */
@FunctionalInterface
public interface RequestRouter {

    /**
     * Chooses an instance.
     *
     * @param targets the instances of the service, not empty
     * @param nowMillis current time
     * @param random source of random numbers
     * @return index of the chosen instance, or -1 to refuse the request
     */
    int route(List<? extends TargetView> targets, long nowMillis, RandomGenerator random);

    /**
     * Returns a router that compares two available instances chosen at random and selects the one
     * with fewer requests in flight.
     *
     * @return the router
     */
    static RequestRouter powerOfTwoChoices() {
        return (targets, nowMillis, random) -> {
            int first = firstAvailable(targets, random.nextInt(targets.size()));
            int second = firstAvailable(targets, random.nextInt(targets.size()));
            if (first < 0) {
                return -1;
            }
            return targets.get(second).inFlight() < targets.get(first).inFlight() ? second : first;
        };
    }

    private static int firstAvailable(List<? extends TargetView> targets, int from) {
        for (int step = 0; step < targets.size(); step++) {
            int index = (from + step) % targets.size();
            if (targets.get(index).available()) {
                return index;
            }
        }
        return -1;
    }
}
