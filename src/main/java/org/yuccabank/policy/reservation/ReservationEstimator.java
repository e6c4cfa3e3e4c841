package org.yuccabank.policy.reservation;

import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.WorkKind;

/** Estimates the resources that a new lease reserves. */
public interface ReservationEstimator {

    /**
     * Returns the reservation for a task.
     *
     * @param account account of the task
     * @param kind kind of the task
     * @param declared size declared by the owner
     * @return resources to reserve
     */
    Resources reservation(AccountId account, WorkKind kind, Resources declared);

    /**
     * Records the usage of a task.
     *
     * @param account account of the task
     * @param kind kind of the task
     * @param peak highest reported usage of the task
     * @param reserved reservation of its lease, which limits the usage
     * @param declared size declared by the owner
     */
    void observe(
            AccountId account,
            WorkKind kind,
            Resources peak,
            Resources reserved,
            Resources declared);

    /**
     * Returns an estimator that always reserves the declared size.
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
