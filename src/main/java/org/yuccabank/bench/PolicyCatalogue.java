package org.yuccabank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.yuccabank.model.Resources;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.checkpoint.CheckpointInterval;
import org.yuccabank.policy.eviction.GradualProtection;
import org.yuccabank.policy.eviction.ProtectionLimits;
import org.yuccabank.policy.eviction.ProtectionPolicy;
import org.yuccabank.policy.eviction.ThresholdProtection;
import org.yuccabank.policy.health.HostHealth;
import org.yuccabank.policy.interference.LearnedSlowdown;
import org.yuccabank.policy.interference.SlowdownEstimator;
import org.yuccabank.policy.placement.InterferencePlacement;
import org.yuccabank.policy.placement.KindLoad;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.policy.placement.ScanningPlacement;
import org.yuccabank.policy.placement.UrgentHeadroom;
import org.yuccabank.policy.reservation.ReservationEstimator;
import org.yuccabank.policy.reservation.UrgentReserve;
import org.yuccabank.policy.reservation.UsageBasedReservation;

/** Catalogue of the policies that the benchmark compares, by name. */
final class PolicyCatalogue {

    private static final String WITHOUT_PREFIX = "default-without-";

    /** Checkpoint interval in the rules of the examples. */
    private static final long FIXED_CHECKPOINT_INTERVAL_MILLIS = 60_000;

    private static final List<String> MECHANISMS =
            List.of(
                    "interference",
                    "matching",
                    "protection",
                    "gradual-protection",
                    "usage",
                    "reserve",
                    "health",
                    "young",
                    "fairness");

    private PolicyCatalogue() {}

    /** Returns the names of all policies. */
    static List<String> names() {
        List<String> names =
                new ArrayList<>(
                        List.of(
                                "default",
                                "best-fit",
                                "best-fit-without-protection",
                                "least-loaded",
                                "random",
                                "oracle"));
        MECHANISMS.forEach(mechanism -> names.add(WITHOUT_PREFIX + mechanism));
        return names;
    }

    /** Creates a policy without observations. */
    static Optional<PolicySet> create(String name, Example example) {
        if (!names().contains(name)) {
            return Optional.empty();
        }
        return Optional.of(
                switch (name) {
                    case "best-fit" ->
                            baseline(ScanningPlacement.bestFit(), ThresholdProtection.create());
                    case "best-fit-without-protection" ->
                            baseline(ScanningPlacement.bestFit(), ProtectionPolicy.none());
                    case "least-loaded" ->
                            baseline(ScanningPlacement.leastLoaded(), ThresholdProtection.create());
                    case "random" ->
                            baseline(ScanningPlacement.random(), ThresholdProtection.create());
                    case "oracle" -> oracle(example);
                    default ->
                            defaultPolicy(
                                    example,
                                    name.startsWith(WITHOUT_PREFIX)
                                            ? name.substring(WITHOUT_PREFIX.length())
                                            : "");
                });
    }

    private static PolicySet baseline(PlacementPolicy placement, ProtectionPolicy protection) {
        return new PolicySet(
                placement,
                Optional.empty(),
                false,
                protection,
                false,
                ReservationEstimator.declared(),
                Optional.empty(),
                Optional.empty(),
                CheckpointInterval.fixed(FIXED_CHECKPOINT_INTERVAL_MILLIS),
                false,
                RequestRouter.powerOfTwoChoices());
    }

    private static PolicySet oracle(Example example) {
        SlowdownEstimator trueSlowdown = new OracleEstimator(example);
        UrgentReserve reserve = createReserve(example);
        return new PolicySet(
                InterferencePlacement.of(trueSlowdown, reserve::on),
                Optional.empty(),
                false,
                GradualProtection.of(trueSlowdown, ProtectionLimits.defaults()),
                true,
                UsageBasedReservation.create(),
                Optional.of(reserve),
                Optional.of(HostHealth.create()),
                CheckpointInterval.young(),
                true,
                RequestRouter.powerOfTwoChoices());
    }

    private static PolicySet defaultPolicy(Example example, String disabledMechanism) {
        LearnedSlowdown learned = LearnedSlowdown.create();
        boolean modelsInterference = !disabledMechanism.equals("interference");
        SlowdownEstimator estimator = modelsInterference ? learned : SlowdownEstimator.none();
        Optional<UrgentReserve> reserve =
                disabledMechanism.equals("reserve")
                        ? Optional.empty()
                        : Optional.of(createReserve(example));
        UrgentHeadroom headroom = reserve.isPresent() ? reserve.get()::on : UrgentHeadroom.none();
        return new PolicySet(
                InterferencePlacement.of(estimator, headroom),
                modelsInterference ? Optional.of(learned) : Optional.empty(),
                !disabledMechanism.equals("matching"),
                protection(disabledMechanism, estimator),
                false,
                disabledMechanism.equals("usage")
                        ? ReservationEstimator.declared()
                        : UsageBasedReservation.create(),
                reserve,
                disabledMechanism.equals("health")
                        ? Optional.empty()
                        : Optional.of(HostHealth.create()),
                disabledMechanism.equals("young")
                        ? CheckpointInterval.fixed(FIXED_CHECKPOINT_INTERVAL_MILLIS)
                        : CheckpointInterval.young(),
                !disabledMechanism.equals("fairness"),
                RequestRouter.powerOfTwoChoices());
    }

    private static ProtectionPolicy protection(
            String disabledMechanism, SlowdownEstimator estimator) {
        return switch (disabledMechanism) {
            case "protection" -> ProtectionPolicy.none();
            case "gradual-protection" -> ThresholdProtection.create();
            default -> GradualProtection.of(estimator, ProtectionLimits.defaults());
        };
    }

    private static UrgentReserve createReserve(Example example) {
        KindProfile urgent = example.kinds().get(Example.URGENT_TASK_KIND);
        return UrgentReserve.of(
                Resources.of(
                        (long) (2000 * urgent.meanCores()),
                        (long) (2 * urgent.meanPeakMemoryMebibytes()),
                        0));
    }

    /** Returns the true slowdown. */
    private record OracleEstimator(Example example) implements SlowdownEstimator {

        @Override
        public double slowdown(
                WorkKind victim,
                List<KindLoad> present,
                WorkKind added,
                long addedMillis,
                long capacityMillis) {
            double[] cores = new double[example.kinds().size()];
            double totalMillis = 0;
            for (KindLoad load : present) {
                cores[indexOf(load.kind())] += load.processorMillis() / 1000.0;
                totalMillis += load.processorMillis();
            }
            cores[indexOf(added)] += addedMillis / 1000.0;
            int victimIndex = indexOf(victim);
            return example.slowdown()
                    .slowdown(
                            victimIndex,
                            cores,
                            cores[victimIndex],
                            (totalMillis + addedMillis) / capacityMillis);
        }

        private int indexOf(WorkKind kind) {
            List<KindProfile> kinds = example.kinds();
            for (int index = 0; index < kinds.size(); index++) {
                if (kinds.get(index).kind().equals(kind)) {
                    return index;
                }
            }
            throw new IllegalArgumentException("unknown kind " + kind);
        }
    }
}
