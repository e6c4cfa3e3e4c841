package org.yuccabank.policy.routing;

import java.util.Objects;
import java.util.function.ToIntFunction;
import org.yuccabank.model.AccountId;

/**
 * Admits a request only if it can be answered before its deadline, and limits its expected wait by
 * its priority and by its account's fair share.
 *
 * <p>The time that remains after network delay and a high quantile of the service time may be spent
 * waiting for a slot. Lower priorities may use a smaller part of it, and accounts above their fair
 * share the smallest. Under overload, queues therefore stay short, and high priorities and accounts
 * below their share are served first. While a slot is expected to be free, only requests that would
 * miss their deadline are refused. Mutable; confined to one thread.
 */
public final class DeadlineAdmission implements AdmissionController {

    /**
     * Percentile of the service time to allow for; keeps late answers below 1 % of admitted
     * requests.
     */
    private static final double SERVICE_PERCENTILE = 99.5;

    /** Share of the maximum wait that the lowest priority may use. */
    private static final double LOWEST_PRIORITY_WAIT_SHARE = 0.5;

    /** Share of the maximum wait that accounts far above their fair share may use. */
    private static final double OVER_SHARE_WAIT_SHARE = 0.25;

    /** Relative excess over the fair share from which an account counts as far above it. */
    private static final double OVER_SHARE_EXCESS = 0.25;

    private static final long MINIMUM_RETRY_AFTER_MILLIS = 50;

    private final AccountShares shares;
    private final SlidingQuantile serviceTimes = new SlidingQuantile(SERVICE_PERCENTILE);

    private final boolean fairShareEnabled;

    private DeadlineAdmission(ToIntFunction<AccountId> weights, boolean fairShareEnabled) {
        this.shares = new AccountShares(weights);
        this.fairShareEnabled = fairShareEnabled;
    }

    /**
     * Creates a controller.
     *
     * @param weights weight of each account's fair share, at least 1
     * @return the controller
     */
    public static DeadlineAdmission of(ToIntFunction<AccountId> weights) {
        return new DeadlineAdmission(Objects.requireNonNull(weights, "weights is null"), true);
    }

    /**
     * Creates a controller that ignores fair shares, to measure their effect.
     *
     * @return the controller
     */
    public static DeadlineAdmission withoutFairShare() {
        return new DeadlineAdmission(account -> 1, false);
    }

    @Override
    public Admission decide(AdmissionRequest request, long nowMillis) {
        Route route = request.route();
        long remainingMicros = remainingMicros(request.deadline(), nowMillis);
        if (route.totalMicros() > remainingMicros) {
            return refused(Admission.Reason.DEADLINE, route);
        }
        if (route.waitMicros() == 0) {
            return Admission.admitted();
        }
        long service = Math.max(serviceTimes.quantileMicros(), route.serviceMicros());
        long maximumWaitMicros = remainingMicros - route.networkMicros() - service;
        if (route.waitMicros() > maximumWaitMicros) {
            return refused(Admission.Reason.DEADLINE, route);
        }
        if (route.waitMicros() > maximumWaitMicros * priorityFactor(request.priority())) {
            return refused(Admission.Reason.PRIORITY, route);
        }
        if (route.waitMicros()
                > maximumWaitMicros * fairShareFactor(request.account(), nowMillis)) {
            return refused(Admission.Reason.FAIR_SHARE, route);
        }
        return Admission.admitted();
    }

    @Override
    public void started(AccountId account, long nowMillis) {
        shares.started(account, nowMillis);
    }

    @Override
    public void finished(AccountId account, Response response, long nowMillis) {
        shares.finished(account, nowMillis);
        if (response.kind() == Response.Kind.RAN) {
            serviceTimes.add(response.serviceMicros(), nowMillis);
        }
    }

    private static long remainingMicros(Deadline deadline, long nowMillis) {
        long millis = deadline.remainingMillis(nowMillis);
        return millis > Long.MAX_VALUE / 1000 ? Long.MAX_VALUE : millis * 1000;
    }

    private double fairShareFactor(AccountId account, long nowMillis) {
        if (!fairShareEnabled) {
            return 1;
        }
        double excess = shares.ratioToFairShare(account, nowMillis) - 1;
        return Math.max(OVER_SHARE_WAIT_SHARE, Math.min(1, 1 - excess / OVER_SHARE_EXCESS));
    }

    private static double priorityFactor(int priority) {
        double rank =
                (double) (priority - AdmissionRequest.LOWEST_PRIORITY)
                        / (AdmissionRequest.HIGHEST_PRIORITY - AdmissionRequest.LOWEST_PRIORITY);
        return LOWEST_PRIORITY_WAIT_SHARE + (1 - LOWEST_PRIORITY_WAIT_SHARE) * rank;
    }

    private static Admission refused(Admission.Reason reason, Route route) {
        long drainMillis = route.waitMicros() / 1000;
        return Admission.refused(reason, Math.max(MINIMUM_RETRY_AFTER_MILLIS, drainMillis));
    }
}
