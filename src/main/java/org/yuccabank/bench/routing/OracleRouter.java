package org.yuccabank.bench.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Candidate;
import org.yuccabank.policy.routing.Response;
import org.yuccabank.policy.routing.Route;
import org.yuccabank.policy.routing.RouteRequest;
import org.yuccabank.policy.routing.Router;

/**
 * Router that uses the true queues of all targets, including requests in transit from other
 * entries, and their true speed. It bounds what any router can achieve.
 */
final class OracleRouter implements Router {

    private final Collection<FakeTarget> targets;
    private final double meanServiceMicros;
    private final Map<TargetId, Candidate> candidates = new HashMap<>();

    OracleRouter(Collection<FakeTarget> targets, double meanServiceMicros) {
        this.targets = targets;
        this.meanServiceMicros = meanServiceMicros;
    }

    @Override
    public void update(Candidate candidate, long nowMillis) {
        candidates.put(candidate.target(), candidate);
    }

    @Override
    public void remove(TargetId target) {
        candidates.remove(target);
    }

    @Override
    public Optional<Route> choose(RouteRequest request, long nowMillis, RandomGenerator random) {
        Route best = null;
        for (FakeTarget target : targets) {
            if (!isUsable(target) || request.tried().contains(target.id())) {
                continue;
            }
            Route route = estimate(target);
            if (best == null || route.totalMicros() < best.totalMicros()) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isUsable(FakeTarget target) {
        return target.behaviour() == FakeTarget.Behaviour.NORMAL
                || target.behaviour() == FakeTarget.Behaviour.SLOW;
    }

    private Route estimate(FakeTarget target) {
        boolean isSlow = target.behaviour() == FakeTarget.Behaviour.SLOW;
        double service = meanServiceMicros * (isSlow ? Load.SLOW_TARGET_FACTOR : 1);
        int excess = Math.max(0, target.trueLoad() + 1 - RoutingScenario.SLOTS);
        double wait = excess * service / RoutingScenario.SLOTS;
        long network = 2 * candidates.get(target.id()).oneWayMicros();
        return new Route(target.id(), (long) wait, (long) service, network);
    }

    @Override
    public void dispatched(TargetId target, long nowMillis) {
        // The simulated targets track their own load.
    }

    @Override
    public void completed(TargetId target, Response response, long nowMillis) {
        // The simulated targets track their own load.
    }
}
