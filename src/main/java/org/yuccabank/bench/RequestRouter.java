package org.yuccabank.bench;

import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses the instance that serves a request; the seam between the bench and routing policies. */
@FunctionalInterface
public interface RequestRouter {

    /**
     * Chooses an instance.
     *
     * @param targets the instances of the service, not empty
     * @param nowMillis present time
     * @param random source of random numbers
     * @return position of the chosen instance, or -1 to refuse the request
     */
    int route(List<? extends TargetView> targets, long nowMillis, RandomGenerator random);

    /**
     * Compares two instances chosen at random and takes the one with fewer requests in flight.
     *
     * @return the router
     */
    static RequestRouter powerOfTwo() {
        return (targets, nowMillis, random) -> {
            int first = random.nextInt(targets.size());
            int second = random.nextInt(targets.size());
            TargetView one = targets.get(first);
            TargetView other = targets.get(second);
            if (!one.available()) {
                return other.available() ? second : -1;
            }
            return other.available() && other.inFlight() < one.inFlight() ? second : first;
        };
    }
}
