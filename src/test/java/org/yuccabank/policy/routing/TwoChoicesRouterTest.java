package org.yuccabank.policy.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.testng.annotations.Test;
import org.yuccabank.model.TargetId;

/** Tests which targets the router selects. */
public final class TwoChoicesRouterTest {

    private static final RouteRequest REQUEST = RouteRequest.of(Deadline.none());

    private final RandomGenerator random = new SplittableRandom(3);

    private static TargetId id(int number) {
        return TargetId.of("target-" + number);
    }

    private static Candidate candidate(int number, Candidate.State state) {
        return new Candidate(id(number), 1000, 8, 64, state);
    }

    private static Router router(int targets) {
        Router router = TwoChoicesRouter.of(RouterOptions.defaults());
        for (int number = 0; number < targets; number++) {
            router.update(candidate(number, Candidate.State.READY), 0);
        }
        return router;
    }

    /** Guards against sending new work to a leaving target. */
    @Test
    public void shouldNeverChooseLeavingTarget() {
        Router router = router(2);
        router.update(candidate(0, Candidate.State.LEAVING), 0);
        for (int round = 0; round < 100; round++) {
            assertEquals(router.choose(REQUEST, 0, random).orElseThrow().target(), id(1));
        }
        router.update(candidate(1, Candidate.State.LEAVING), 0);
        assertEquals(router.choose(REQUEST, 0, random), Optional.empty());
    }

    /** Guards against excluding all targets if all of them fail. */
    @Test
    public void shouldNotExcludeAllTargetsWhenAllFail() {
        Router router = router(9);
        for (int round = 0; round < 100; round++) {
            TargetId target = router.choose(REQUEST, 0, random).orElseThrow().target();
            router.dispatched(target, 0);
            router.completed(target, Response.without(Response.Kind.UNREACHABLE), 0);
        }
        assertTrue(
                random.ints(200)
                                .mapToObj(any -> router.choose(REQUEST, 0, random).orElseThrow())
                                .map(Route::target)
                                .distinct()
                                .count()
                        >= 6);
    }

    /** Guards against a retry on a target that already failed. */
    @Test
    public void shouldNotChooseTriedTarget() {
        Router router = router(2);
        RouteRequest retry = new RouteRequest(Deadline.none(), Set.of(id(0)));
        for (int round = 0; round < 100; round++) {
            assertEquals(router.choose(retry, 0, random).orElseThrow().target(), id(1));
        }
        RouteRequest last = new RouteRequest(Deadline.none(), Set.of(id(0), id(1)));
        assertFalse(router.choose(last, 0, random).isPresent());
    }
}
