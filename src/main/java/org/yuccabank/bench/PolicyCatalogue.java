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

/** The policies that the bench compares, by name. */
final class PolicyCatalogue {

    private static final String WITHOUT = "default-without-";

    /** Interval that the example rules ask for. */
    private static final long FIXED_CHECKPOINT_MILLIS = 60_000;

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

    /** Names of all policies. */
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
        MECHANISMS.forEach(mechanism -> names.add(WITHOUT + mechanism));
        return names;
    }

    /** Creates a policy without any observation. */
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
                            product(
                                    example,
                                    name.startsWith(WITHOUT)
                                            ? name.substring(WITHOUT.length())
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
                CheckpointInterval.fixed(FIXED_CHECKPOINT_MILLIS),
                false,
                RequestRouter.powerOfTwo());
    }

    private static PolicySet oracle(Example example) {
        SlowdownEstimator truth = new TrueSlowdown(example);
        UrgentReserve reserve = reserve(example);
        return new PolicySet(
                InterferencePlacement.of(truth, reserve::on),
                Optional.empty(),
                false,
                GradualProtection.of(truth, ProtectionLimits.defaults()),
                true,
                UsageBasedReservation.create(),
                Optional.of(reserve),
                Optional.of(HostHealth.create()),
                CheckpointInterval.young(),
                true,
                RequestRouter.powerOfTwo());
    }

    private static PolicySet product(Example example, String without) {
        LearnedSlowdown learned = LearnedSlowdown.create();
        boolean learns = !without.equals("interference");
        SlowdownEstimator estimator = learns ? learned : SlowdownEstimator.none();
        Optional<UrgentReserve> reserve =
                without.equals("reserve") ? Optional.empty() : Optional.of(reserve(example));
        UrgentHeadroom room = reserve.isPresent() ? reserve.get()::on : UrgentHeadroom.none();
        return new PolicySet(
                InterferencePlacement.of(estimator, room),
                learns ? Optional.of(learned) : Optional.empty(),
                !without.equals("matching"),
                protection(without, estimator),
                false,
                without.equals("usage")
                        ? ReservationEstimator.declared()
                        : UsageBasedReservation.create(),
                reserve,
                without.equals("health") ? Optional.empty() : Optional.of(HostHealth.create()),
                without.equals("young")
                        ? CheckpointInterval.fixed(FIXED_CHECKPOINT_MILLIS)
                        : CheckpointInterval.young(),
                !without.equals("fairness"),
                RequestRouter.powerOfTwo());
    }

    private static ProtectionPolicy protection(String without, SlowdownEstimator estimator) {
        return switch (without) {
            case "protection" -> ProtectionPolicy.none();
            case "gradual-protection" -> ThresholdProtection.create();
            default -> GradualProtection.of(estimator, ProtectionLimits.defaults());
        };
    }

    private static UrgentReserve reserve(Example example) {
        KindProfile urgent = example.kinds().get(Example.URGENT_TASK);
        return UrgentReserve.of(
                Resources.of(
                        (long) (2000 * urgent.cores()), (long) (2 * urgent.memoryMebibytes()), 0));
    }

    /** Answers with the hidden table. */
    private record TrueSlowdown(Example example) implements SlowdownEstimator {

        @Override
        public double slowdown(
                WorkKind victim,
                List<KindLoad> present,
                WorkKind added,
                long addedMillis,
                long capacityMillis) {
            double[] cores = new double[example.kinds().size()];
            double total = 0;
            for (KindLoad load : present) {
                cores[position(load.kind())] += load.processorMillis() / 1000.0;
                total += load.processorMillis();
            }
            cores[position(added)] += addedMillis / 1000.0;
            int position = position(victim);
            return example.slowdown()
                    .slowdown(
                            position,
                            cores,
                            cores[position],
                            (total + addedMillis) / capacityMillis);
        }

        private int position(WorkKind kind) {
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
