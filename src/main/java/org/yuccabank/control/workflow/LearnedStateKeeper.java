package org.yuccabank.control.workflow;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.policy.workflow.EstimateCorrection;
import org.yuccabank.policy.workflow.PressureEstimates;
import org.yuccabank.policy.workflow.RunTimes;
import org.yuccabank.protocol.generated.EstimateCorrectionState;
import org.yuccabank.protocol.generated.LearnedPressure;
import org.yuccabank.protocol.generated.LearnedState;

/**
 * Keeps what a leader has learned from runs for its successors. After a loss of power no process
 * remembers it, and best-effort tasks are placed beside serving tasks whose targets they miss until
 * it is learned again.
 *
 * <p>Invariant: a leader restores the state of others only, and each state once. Confined to the
 * replica thread; times are read from a monotonic clock.
 */
final class LearnedStateKeeper {

    /** Interval between two records. Pressures of new images are learned within a few seconds. */
    private static final long RECORD_INTERVAL_MILLIS = 4_000;

    /** Bounds a record to about 60 kB; the most certain pressures are kept. */
    private static final int MAXIMUM_PRESSURES = 1_000;

    private final PressureEstimates pressures;
    private final RunTimes runTimes;
    private LearnedState latest = LearnedState.getDefaultInstance();
    private long recordedAtMillis = Long.MIN_VALUE / 2;

    LearnedStateKeeper(PressureEstimates pressures, RunTimes runTimes) {
        this.pressures = pressures;
        this.runTimes = runTimes;
    }

    /** Restores the state recorded by another leader unless it is known. */
    void restore(LearnedState recorded, long term) {
        if (recorded.getTerm() == term || recorded.equals(latest)) {
            return;
        }
        latest = recorded;
        EventLog.information(
                Event.LEARNED_STATE_RESTORED,
                "term",
                term,
                "recordedInTerm",
                recorded.getTerm(),
                "pressures",
                recorded.getPressuresCount(),
                "queues",
                recorded.getCorrectionsCount());
        for (LearnedPressure each : recorded.getPressuresList()) {
            pressures.restore(
                    new PressureEstimates.ImagePair(each.getServingImage(), each.getImage()),
                    new PressureEstimates.Estimate(each.getMean(), each.getVariance()));
        }
        for (EstimateCorrectionState each : recorded.getCorrectionsList()) {
            runTimes.restoreCorrection(
                    each.getQueue(),
                    new EstimateCorrection.Sums(
                            each.getWeight(),
                            each.getMeanEstimate(),
                            each.getMeanTime(),
                            each.getEstimateSquares(),
                            each.getProducts()));
        }
    }

    /** Returns the state to record now, empty if it has not changed or was recorded recently. */
    Optional<LearnedState> dueRecord(long term, long nowMillis) {
        if (nowMillis - recordedAtMillis < RECORD_INTERVAL_MILLIS) {
            return Optional.empty();
        }
        recordedAtMillis = nowMillis;
        LearnedState current = state(term);
        boolean unchanged =
                current.equals(latest)
                        || (current.getPressuresCount() == 0 && current.getCorrectionsCount() == 0);
        latest = current;
        return unchanged ? Optional.empty() : Optional.of(current);
    }

    private LearnedState state(long term) {
        LearnedState.Builder state = LearnedState.newBuilder().setTerm(term);
        pressures.learned().entrySet().stream()
                .sorted(
                        Comparator.comparingDouble(
                                (Map.Entry<PressureEstimates.ImagePair, PressureEstimates.Estimate>
                                                each) -> each.getValue().variance()))
                .limit(MAXIMUM_PRESSURES)
                .forEach(
                        each ->
                                state.addPressures(
                                        LearnedPressure.newBuilder()
                                                .setServingImage(each.getKey().serving())
                                                .setImage(each.getKey().bestEffort())
                                                .setMean(each.getValue().mean())
                                                .setVariance(each.getValue().variance())));
        runTimes.corrections()
                .forEach(
                        (queue, sums) ->
                                state.addCorrections(
                                        EstimateCorrectionState.newBuilder()
                                                .setQueue(queue)
                                                .setWeight(sums.weight())
                                                .setMeanEstimate(sums.meanEstimate())
                                                .setMeanTime(sums.meanTime())
                                                .setEstimateSquares(sums.estimateSquares())
                                                .setProducts(sums.products())));
        return state.build();
    }
}
