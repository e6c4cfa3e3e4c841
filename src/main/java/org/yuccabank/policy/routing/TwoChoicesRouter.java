package org.yuccabank.policy.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.yuccabank.model.TargetId;

/**
 * Selects the target with the lowest expected response time among a few random ones, as in
 * power-of-two-choices load balancing. The estimate is based on this entry's own requests in
 * progress, the load in the target's latest answer, its measured service time and the network
 * delay. A near target is therefore selected until its queueing delay exceeds the extra network
 * delay of a distant one.
 *
 * <p>Targets with several consecutive failures are excluded for some time, but never more than
 * {@link #EXCLUDED_SHARE_PERCENT} percent of the targets at once. Excluded and suspect targets are
 * used if there is no other. A leaving target is never selected.
 *
 * <p>The cost of a selection does not depend on the number of ready targets, unless all targets
 * drawn were tried before. Mutable; confined to one thread.
 */
public final class TwoChoicesRouter implements Router {

    /** Maximum share of the targets that is excluded at once, in percent. */
    public static final int EXCLUDED_SHARE_PERCENT = 34;

    /** Consecutive failures after which a target is excluded. */
    private static final int MINIMUM_FAILURES_TO_EXCLUDE = 3;

    private static final long INITIAL_EXCLUSION_MILLIS = 1000;

    private static final long MAXIMUM_EXCLUSION_MILLIS = 30_000;

    /** Additional targets compared if the best one is expected to miss the deadline. */
    private static final int EXTRA_CHOICES = 4;

    /** Cost of a fully loaded target relative to its service time; spreads load over free slots. */
    private static final double SPREAD_COST = 0.05;

    /** Added to the cost of a target that is expected to refuse the request. */
    private static final double AVOIDANCE_COST_MICROS = 1e9;

    private final RouterOptions options;
    private final Map<TargetId, TargetView> views = new HashMap<>();
    private final TreeMap<Long, TargetSet> readyByDelay = new TreeMap<>();
    private final TargetSet ready = new TargetSet();
    private final TargetSet suspect = new TargetSet();
    private final Deque<TargetView> excluded = new ArrayDeque<>();
    private final FleetAverages fleetAverages = new FleetAverages();

    private TwoChoicesRouter(RouterOptions options) {
        this.options = options;
    }

    /**
     * Creates a router without targets.
     *
     * @param options which mechanisms to use
     * @return the router
     */
    public static TwoChoicesRouter of(RouterOptions options) {
        return new TwoChoicesRouter(Objects.requireNonNull(options, "options is null"));
    }

    @Override
    public void update(Candidate candidate, long nowMillis) {
        Objects.requireNonNull(candidate, "candidate is null");
        TargetView view = views.get(candidate.target());
        if (view == null) {
            view = new TargetView(candidate, nowMillis);
            views.put(candidate.target(), view);
        } else if (view.candidate().equals(candidate)) {
            return;
        }
        removeFromSets(view);
        boolean stillExcluded = excluded.contains(view);
        view.update(candidate);
        if (!stillExcluded || candidate.state() != Candidate.State.READY) {
            excluded.remove(view);
            addToSets(view);
        }
    }

    @Override
    public void remove(TargetId target) {
        TargetView view = views.remove(target);
        if (view != null) {
            removeFromSets(view);
            excluded.remove(view);
        }
    }

    @Override
    public Optional<Route> choose(RouteRequest request, long nowMillis, RandomGenerator random) {
        readmitExpired(nowMillis);
        TargetView best = selectBest(request, nowMillis, random);
        if (best == null) {
            best = selectFallback(request, random);
        }
        return best == null ? Optional.empty() : Optional.of(route(best, nowMillis));
    }

    @Override
    public void dispatched(TargetId target, long nowMillis) {
        TargetView view = views.get(target);
        if (view != null) {
            view.dispatched(nowMillis);
        }
    }

    @Override
    public void completed(TargetId target, Response response, long nowMillis) {
        TargetView view = views.get(target);
        if (view == null) {
            return;
        }
        view.completed(response, fleetAverages, options.ageing(), nowMillis);
        switch (response.kind()) {
            case RAN -> view.succeeded();
            case FAILED, UNREACHABLE, NO_RESPONSE -> failed(view, nowMillis);
            case REFUSED, ABANDONED -> {
                // These results give no information about the health of the target.
            }
            default -> throw new IllegalStateException("unknown response kind " + response.kind());
        }
    }

    private TargetView selectBest(RouteRequest request, long nowMillis, RandomGenerator random) {
        TargetView best = null;
        if (options.preferNearest() && !readyByDelay.isEmpty()) {
            TargetSet near = readyByDelay.firstEntry().getValue();
            best = selectCheaper(best, near, options.choices(), request, nowMillis, random);
        }
        best = selectCheaper(best, ready, options.choices(), request, nowMillis, random);
        if (best != null && missesDeadline(best, request, nowMillis)) {
            best = selectCheaper(best, ready, EXTRA_CHOICES, request, nowMillis, random);
        }
        return best;
    }

    private TargetView selectCheaper(
            TargetView first,
            TargetSet set,
            int draws,
            RouteRequest request,
            long nowMillis,
            RandomGenerator random) {
        TargetView best = first;
        double bestCost = best == null ? Double.MAX_VALUE : cost(best, nowMillis);
        for (int draw = 0; draw < draws; draw++) {
            TargetView view = set.drawUntried(request.tried(), random);
            double cost = view == null ? Double.MAX_VALUE : cost(view, nowMillis);
            if (cost < bestCost) {
                best = view;
                bestCost = cost;
            }
        }
        return best;
    }

    private TargetView selectFallback(RouteRequest request, RandomGenerator random) {
        TargetView untried = ready.firstUntried(request.tried(), random);
        if (untried != null) {
            return untried;
        }
        for (TargetView view : excluded) {
            if (!request.tried().contains(view.target())) {
                return view;
            }
        }
        return suspect.firstUntried(request.tried(), random);
    }

    private boolean missesDeadline(TargetView view, RouteRequest request, long nowMillis) {
        return expectedMicros(view, nowMillis)
                > request.deadline().remainingMillis(nowMillis) * 1000.0;
    }

    private double cost(TargetView view, long nowMillis) {
        double load = view.load(fleetAverages, options.ageing(), nowMillis);
        double service = view.serviceMicros(fleetAverages, options.ageing(), nowMillis);
        Candidate candidate = view.candidate();
        double spread = SPREAD_COST * service * load / candidate.slots();
        boolean isAvoided =
                load >= candidate.connections()
                        || (options.outlierHandling() && view.hasRecentRefusal(nowMillis));
        return expectedMicros(view, nowMillis) + spread + (isAvoided ? AVOIDANCE_COST_MICROS : 0);
    }

    private double expectedMicros(TargetView view, long nowMillis) {
        double service = view.serviceMicros(fleetAverages, options.ageing(), nowMillis);
        double expected = waitMicros(view, nowMillis) + service + networkMicros(view);
        return options.outlierHandling()
                ? expected + view.overdueMicros(expected, nowMillis)
                : expected;
    }

    private double waitMicros(TargetView view, long nowMillis) {
        int slots = view.candidate().slots();
        double excess = view.load(fleetAverages, options.ageing(), nowMillis) + 1 - slots;
        return Math.max(0, excess)
                * view.serviceMicros(fleetAverages, options.ageing(), nowMillis)
                / slots;
    }

    private static long networkMicros(TargetView view) {
        return 2 * view.candidate().oneWayMicros();
    }

    private Route route(TargetView view, long nowMillis) {
        long service = (long) view.serviceMicros(fleetAverages, options.ageing(), nowMillis);
        long wait = (long) expectedMicros(view, nowMillis) - service - networkMicros(view);
        return new Route(view.target(), Math.max(0, wait), service, networkMicros(view));
    }

    private void failed(TargetView view, long nowMillis) {
        view.failed();
        boolean isReady = view.candidate().state() == Candidate.State.READY;
        if (options.outlierHandling()
                && isReady
                && view.consecutiveFailures() >= MINIMUM_FAILURES_TO_EXCLUDE
                && !excluded.contains(view)
                && canExcludeAnother()) {
            removeFromSets(view);
            view.exclude(INITIAL_EXCLUSION_MILLIS, MAXIMUM_EXCLUSION_MILLIS, nowMillis);
            excluded.add(view);
        }
    }

    private boolean canExcludeAnother() {
        int all = ready.size() + excluded.size();
        return (excluded.size() + 1) * 100 <= all * EXCLUDED_SHARE_PERCENT;
    }

    /** Readmits targets whose exclusion has expired. */
    private void readmitExpired(long nowMillis) {
        if (excluded.isEmpty()) {
            return;
        }
        Iterator<TargetView> iterator = excluded.iterator();
        while (iterator.hasNext()) {
            TargetView view = iterator.next();
            if (view.excludedUntilMillis() <= nowMillis) {
                iterator.remove();
                addToSets(view);
            }
        }
    }

    private void addToSets(TargetView view) {
        switch (view.candidate().state()) {
            case READY -> {
                ready.add(view);
                readyByDelay
                        .computeIfAbsent(view.candidate().oneWayMicros(), key -> new TargetSet())
                        .add(view);
            }
            case SUSPECT -> suspect.add(view);
            case LEAVING -> {
                // A leaving target is in no set and cannot be selected.
            }
            default ->
                    throw new IllegalStateException(
                            "unknown target state " + view.candidate().state());
        }
    }

    private void removeFromSets(TargetView view) {
        ready.remove(view);
        suspect.remove(view);
        long delay = view.candidate().oneWayMicros();
        TargetSet group = readyByDelay.get(delay);
        if (group != null) {
            group.remove(view);
            if (group.isEmpty()) {
                readyByDelay.remove(delay);
            }
        }
    }
}
