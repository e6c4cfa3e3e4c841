package org.yuccabank.bench;

import java.util.Optional;
import org.yuccabank.policy.checkpoint.CheckpointInterval;
import org.yuccabank.policy.eviction.ProtectionPolicy;
import org.yuccabank.policy.health.HostHealth;
import org.yuccabank.policy.interference.LearnedSlowdown;
import org.yuccabank.policy.placement.PlacementPolicy;
import org.yuccabank.policy.reservation.ReservationEstimator;
import org.yuccabank.policy.reservation.UrgentReserve;

/**
 * Components of one benchmarked policy.
 *
 * @param placement selection of hosts
 * @param interferenceModel interference model trained from reports, empty if the policy has none
 * @param usesLoadHistory whether measurements are matched with the load at the time at which they
 *     were taken
 * @param protection protection of urgent work
 * @param usesTrueSlowdown whether protection uses the current true slowdown, as in the oracle
 * @param reservations sizes of the reservations
 * @param reserve resources kept free for urgent starts, empty if none are
 * @param health detection of faulty hosts and jobs, empty if there is none
 * @param checkpointIntervals checkpoint intervals
 * @param fairShare whether pending tasks are ordered by the shares of teams
 * @param router selection of instances for requests
 */
record PolicySet(
        PlacementPolicy placement,
        Optional<LearnedSlowdown> interferenceModel,
        boolean usesLoadHistory,
        ProtectionPolicy protection,
        boolean usesTrueSlowdown,
        ReservationEstimator reservations,
        Optional<UrgentReserve> reserve,
        Optional<HostHealth> health,
        CheckpointInterval checkpointIntervals,
        boolean fairShare,
        RequestRouter router) {}
