package org.yuccabank.policy.reservation;

import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.WorkKind;

/** Chooses how much a new lease reserves. */
public interface ReservationEstimator {

    /**
     * Chooses a reservation.
     *
     * @param account account of the task
     * @param kind kind of the task
     * @param declared size that the owner declared
     * @return resources to reserve
     */
    Resources reservation(AccountId account, WorkKind kind, Resources declared);

    /**
     * Takes in the usage of a task.
     *
     * @param account account of the task
     * @param kind kind of the task
     * @param peak greatest usage that was reported for the task
     * @param reserved what its lease reserved, which limits the usage
     * @param declared what its owner declared
     */
    void observe(
            AccountId account,
            WorkKind kind,
            Resources peak,
            Resources reserved,
            Resources declared);

    /**
     * Trusts declared sizes.
     *
     * @return the estimator
     */
    static ReservationEstimator declared() {
        return new ReservationEstimator() {
            @Override
            public Resources reservation(AccountId account, WorkKind kind, Resources declared) {
                return declared;
            }

            @Override
            public void observe(
                    AccountId account,
                    WorkKind kind,
                    Resources peak,
                    Resources reserved,
                    Resources declared) {}
        };
    }
}
