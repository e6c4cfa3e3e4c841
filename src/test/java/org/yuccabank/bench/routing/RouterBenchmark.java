package org.yuccabank.bench.routing;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Candidate;
import org.yuccabank.policy.routing.Deadline;
import org.yuccabank.policy.routing.Response;
import org.yuccabank.policy.routing.Route;
import org.yuccabank.policy.routing.RouteRequest;
import org.yuccabank.policy.routing.Router;
import org.yuccabank.policy.routing.RouterOptions;
import org.yuccabank.policy.routing.TwoChoicesRouter;

/** Measures time and allocation per routing decision for several numbers of targets. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class RouterBenchmark {

    private static final int REQUESTS_PER_TARGET = 2;

    /** Number of targets. */
    @Param({"11", "110", "1100", "5000"})
    public int targets;

    private final SplittableRandom random = new SplittableRandom(1);
    private final Queue<TargetId> inProgress = new ArrayDeque<>();
    private final RouteRequest request = RouteRequest.of(Deadline.none());
    private Router router;
    private long nowMillis;

    /** Fills the router with targets and requests in progress. */
    @Setup
    public void fill() {
        router = TwoChoicesRouter.of(RouterOptions.defaults());
        for (int number = 0; number < targets; number++) {
            TargetId id = TargetId.of("target-" + number);
            long delay = number % 3 == 0 ? 100 : 1500;
            router.update(new Candidate(id, delay, 8, 64, Candidate.State.READY), 0);
        }
        for (int request = 0; request < REQUESTS_PER_TARGET * targets; request++) {
            send();
        }
    }

    private TargetId send() {
        Route route = router.choose(request, nowMillis, random).orElseThrow();
        router.dispatched(route.target(), nowMillis);
        inProgress.add(route.target());
        return route.target();
    }

    /** Completes an earlier request, then routes and dispatches another. */
    @Benchmark
    public TargetId decideAndLearn() {
        nowMillis++;
        router.completed(inProgress.remove(), Response.ran(5, 40_000), nowMillis);
        return send();
    }
}
