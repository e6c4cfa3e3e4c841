package org.yuccabank.policy.placement;

import java.util.Objects;
import org.yuccabank.model.HostId;
import org.yuccabank.model.Resources;

/** Outcome of a placement: a host, a reason to wait, or a reason why the task can never run. */
public sealed interface PlacementDecision
        permits PlacementDecision.Placed, PlacementDecision.Waiting, PlacementDecision.Infeasible {

    /**
     * The task is placed on a host.
     *
     * @param host the host
     * @param index position of the host in the cluster view
     * @param reservation resources to hold for the lease
     */
    record Placed(HostId host, int index, Resources reservation) implements PlacementDecision {
        /** Validates the components. */
        public Placed {
            Objects.requireNonNull(host, "host is null");
            Objects.requireNonNull(reservation, "reservation is null");
        }
    }

    /**
     * No host has capacity at present.
     *
     * @param reason why the task waits, for operators
     */
    record Waiting(String reason) implements PlacementDecision {
        /** Validates the reason. */
        public Waiting {
            Objects.requireNonNull(reason, "reason is null");
        }
    }

    /**
     * The task can never run on any host of the cluster, even if all of them were empty.
     *
     * @param reason why the task cannot run, for the owner of the job
     */
    record Infeasible(String reason) implements PlacementDecision {
        /** Validates the reason. */
        public Infeasible {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
