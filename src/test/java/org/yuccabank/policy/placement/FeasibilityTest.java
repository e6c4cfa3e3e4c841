package org.yuccabank.policy.placement;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.HostId;
import org.yuccabank.model.JobId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.interference.SlowdownEstimator;
import org.yuccabank.rules.Quota;
import org.yuccabank.rules.RuleSet;

/** Tests the conditions of every placement and the rejection of tasks that can never run. */
public final class FeasibilityTest {

    private static final Resources HOST = Resources.of(16_000, 61_440, 0);

    private static TaskRequest task(Resources size) {
        return new TaskRequest(
                TaskId.of("task"),
                JobId.of("job"),
                AccountId.of("studio"),
                WorkKind.of("encode"),
                false,
                size,
                Optional.empty(),
                Set.of());
    }

    private static HostView host(int index, Resources reserved, HostStatus status) {
        List<KindLoad> kinds = List.of(new KindLoad(WorkKind.of("preview"), true, 1, 2_000));
        return new HostView(
                HostId.of("host-" + index), "a", "r", status, HOST, reserved, kinds, 0.3, 0, 0);
    }

    private static Optional<String> infeasibilityReason(Resources size, RuleSet rules) {
        ClusterView cluster = ClusterView.of(List.of(host(0, HOST, HostStatus.READY)));
        return Feasibility.infeasibilityReason(task(size), cluster, rules);
    }

    /** Guards against jobs that wait forever, and against rejecting jobs that only have to wait. */
    @Test
    public void shouldReportReasonForInfeasibleTask() {
        RuleSet separated =
                new RuleSet(
                        Set.of(RuleSet.KindPair.of(WorkKind.of("preview"), WorkKind.of("encode"))),
                        Map.of(),
                        Set.of(),
                        Map.of(),
                        Map.of());
        Quota small = new Quota(Resources.of(500, 500, 0), 1);
        RuleSet limited =
                new RuleSet(
                        Set.of(),
                        Map.of(AccountId.of("studio"), small),
                        Set.of(),
                        Map.of(),
                        Map.of());
        Resources usual = Resources.of(1_000, 1_000, 0);
        assertTrue(infeasibilityReason(usual, RuleSet.empty()).isEmpty());
        assertTrue(
                infeasibilityReason(Resources.of(1, 1, 1), RuleSet.empty())
                        .get()
                        .contains("no host"));
        assertTrue(infeasibilityReason(usual, separated).get().contains("rules separate"));
        assertTrue(infeasibilityReason(usual, limited).get().contains("quota"));
    }

    /**
     * Guards against placing tasks beyond capacity or on hosts that accept no work, with any
     * policy.
     */
    @Test
    public void shouldNotPlaceBeyondCapacity() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(7);
        List<PlacementPolicy> policies =
                List.of(
                        ScanningPlacement.bestFit(),
                        ScanningPlacement.leastLoaded(),
                        ScanningPlacement.random(),
                        InterferencePlacement.of(SlowdownEstimator.none(), UrgentHeadroom.none()));
        for (int round = 0; round < 2_000; round++) {
            List<HostView> hosts = new ArrayList<>();
            for (int index = 0; index < 20; index++) {
                HostStatus status = random.nextInt(3) == 0 ? HostStatus.SUSPECT : HostStatus.READY;
                hosts.add(host(index, HOST.scaled(random.nextDouble()), status));
            }
            Resources size = HOST.scaled(random.nextDouble());
            for (PlacementPolicy policy : policies) {
                PlacementDecision decision =
                        policy.place(task(size), ClusterView.of(hosts), RuleSet.empty(), 0, random);
                if (decision instanceof PlacementDecision.Placed placed) {
                    HostView chosen = hosts.get(placed.index());
                    assertTrue(chosen.reserved().plus(size).fitsWithin(HOST));
                    assertTrue(chosen.status().acceptsWork());
                }
            }
        }
    }
}
