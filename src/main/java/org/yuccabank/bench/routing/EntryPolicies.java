package org.yuccabank.bench.routing;

import java.util.Collection;
import org.yuccabank.model.AccountId;
import org.yuccabank.policy.routing.Admission;
import org.yuccabank.policy.routing.AdmissionController;
import org.yuccabank.policy.routing.AdmissionRequest;
import org.yuccabank.policy.routing.BudgetedRetry;
import org.yuccabank.policy.routing.DeadlineAdmission;
import org.yuccabank.policy.routing.HedgePolicy;
import org.yuccabank.policy.routing.LeastLoadedRouter;
import org.yuccabank.policy.routing.QuantileHedge;
import org.yuccabank.policy.routing.RandomRouter;
import org.yuccabank.policy.routing.Response;
import org.yuccabank.policy.routing.RetryBudget;
import org.yuccabank.policy.routing.RetryPolicy;
import org.yuccabank.policy.routing.RoundRobinRouter;
import org.yuccabank.policy.routing.Router;
import org.yuccabank.policy.routing.RouterOptions;
import org.yuccabank.policy.routing.TwoChoicesRouter;

/**
 * Routing policies of one entry, as configured by a scenario.
 *
 * @param router selection of targets
 * @param admission admission control
 * @param retries retries of failed attempts
 * @param hedges second attempts while the first is in progress
 */
record EntryPolicies(
        Router router, AdmissionController admission, RetryPolicy retries, HedgePolicy hedges) {

    static EntryPolicies of(RoutingScenario scenario, Collection<FakeTarget> targets) {
        return new EntryPolicies(
                router(scenario, targets),
                admission(scenario),
                retries(scenario),
                scenario.isEnabled(Mechanism.HEDGING) ? QuantileHedge.create() : HedgePolicy.off());
    }

    private static Router router(RoutingScenario scenario, Collection<FakeTarget> targets) {
        return switch (scenario.router()) {
            case TWO_CHOICES -> TwoChoicesRouter.of(options(scenario));
            case RANDOM -> RandomRouter.create();
            case ROUND_ROBIN -> RoundRobinRouter.create();
            case LEAST_LOADED -> LeastLoadedRouter.create();
            case ORACLE -> new OracleRouter(targets, scenario.example().meanServiceMicros());
        };
    }

    private static RouterOptions options(RoutingScenario scenario) {
        return new RouterOptions(
                scenario.isEnabled(Mechanism.CHOICES) ? RouterOptions.defaults().choices() : 1,
                scenario.isEnabled(Mechanism.AGEING),
                scenario.isEnabled(Mechanism.OUTLIERS),
                scenario.isEnabled(Mechanism.NEAR_FIRST));
    }

    private static AdmissionController admission(RoutingScenario scenario) {
        if (!scenario.isEnabled(Mechanism.ADMISSION)) {
            return new AdmitAll();
        }
        return scenario.isEnabled(Mechanism.FAIR_SHARE)
                ? DeadlineAdmission.of(account -> 1)
                : DeadlineAdmission.withoutFairShare();
    }

    private static RetryPolicy retries(RoutingScenario scenario) {
        if (!scenario.isEnabled(Mechanism.RETRIES)) {
            return BudgetedRetry.of(RetryBudget.ofPercent(0));
        }
        return BudgetedRetry.of(
                scenario.isEnabled(Mechanism.RETRY_BUDGET)
                        ? RetryBudget.ofPercent(RetryBudget.RETRY_PERCENT)
                        : RetryBudget.unbounded());
    }

    /** Admits every request. */
    private static final class AdmitAll implements AdmissionController {
        @Override
        public Admission decide(AdmissionRequest request, long nowMillis) {
            return Admission.admitted();
        }

        @Override
        public void started(AccountId account, long nowMillis) {
            // Keeps no state.
        }

        @Override
        public void finished(AccountId account, Response response, long nowMillis) {
            // Keeps no state.
        }
    }
}
