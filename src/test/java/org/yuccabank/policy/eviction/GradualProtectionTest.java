package org.yuccabank.policy.eviction;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.KindLoad;

/** Tests the escalation of protection and its hysteresis. */
public final class GradualProtectionTest {

    private static final WorkKind PREVIEW = WorkKind.of("preview");
    private static final WorkKind ENCODE = WorkKind.of("encode");
    private final GradualProtection policy =
            GradualProtection.of(
                    (victim, hostLoad, added, addedMillis, capacity) -> 2 + addedMillis / 4_000.0,
                    ProtectionLimits.defaults());

    private static HostPressure pressure(
            double slowdown, long measuredAtMillis, boolean throttled) {
        EvictionCandidate task =
                new EvictionCandidate(
                        TaskId.of("task"),
                        ENCODE,
                        Resources.of(4_000, 1_000, 0),
                        throttled ? 1_200 : 4_000,
                        true,
                        throttled,
                        0);
        return new HostPressure(
                PREVIEW,
                slowdown,
                measuredAtMillis,
                List.of(new KindLoad(ENCODE, false, 1, 4_000)),
                16_000,
                List.of(task));
    }

    /**
     * Guards against moving a task before throttling it, and against acting on one noisy report.
     */
    @Test
    public void shouldThrottleBeforeMovingAfterSecondHighReport() {
        ProtectionDecision first =
                policy.decide(ProtectionState.INITIAL, pressure(2.0, 1_000, false), 1_000);
        assertTrue(first.actions().isEmpty());
        ProtectionDecision second =
                policy.decide(first.state(), pressure(2.0, 2_000, false), 2_000);
        assertTrue(second.actions().get(0) instanceof ProtectionAction.Throttle);
        ProtectionDecision outdated =
                policy.decide(second.state(), pressure(2.0, 2_500, true), 4_500);
        assertTrue(
                outdated.actions().isEmpty(),
                "a measurement taken before the action took effect was used");
        ProtectionDecision third =
                policy.decide(outdated.state(), pressure(2.0, 4_000, true), 6_000);
        ProtectionDecision fourth = policy.decide(third.state(), pressure(2.0, 5_000, true), 7_000);
        assertTrue(fourth.actions().get(0) instanceof ProtectionAction.Move);
    }

    /** Guards against oscillation between throttling and release. */
    @Test
    public void shouldReleaseOnlyAfterReleaseDelay() {
        ProtectionState state = ProtectionState.INITIAL;
        int releasedAt = -1;
        for (int second = 1; second <= 6 && releasedAt < 0; second++) {
            ProtectionDecision decision =
                    policy.decide(state, pressure(1.0, second * 1_000L, true), second * 1_000L);
            state = decision.state();
            releasedAt = decision.actions().isEmpty() ? -1 : second;
        }
        assertEquals(releasedAt, 3);
    }
}
