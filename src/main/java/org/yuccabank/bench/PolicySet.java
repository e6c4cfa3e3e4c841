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
 * The decisions of one policy of the bench.
 *
 * @param placement chooses hosts
 * @param interferenceModel interference model that reports train, empty if the policy has none
 * @param usesLoadHistory true to match reports with what ran when they were taken
 * @param protection protects urgent work
 * @param usesTrueSlowdown true for the oracle, whose measurements have no lag
 * @param reservations sizes of leases
 * @param reserve room for urgent starts, empty if none is kept
 * @param health host health, empty if hosts and jobs are always trusted
 * @param checkpointIntervals checkpoint intervals
 * @param fairShare true to order waiting work by the shares of teams
 * @param router routes requests
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
