package org.yuccabank.policy.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yuccabank.model.Resources;
import org.yuccabank.rules.Quota;
import org.yuccabank.rules.RuleSet;

/** Checks the conditions that every placement must meet, independent of the policy. */
public final class Feasibility {

    /** Starts in flight allowed on a host that failed recent starts. */
    private static final int MAXIMUM_PROBE_STARTS = 1;

    private Feasibility() {}

    /**
     * Returns whether a task may be placed on a host now.
     *
     * @param task the task
     * @param host the host
     * @param rules the rules in force
     * @return true if the host accepts work, the reservation fits and no rule or exclusion forbids
     *     it
     */
    public static boolean isFeasible(TaskRequest task, HostView host, RuleSet rules) {
        return isAccepting(task, host)
                && host.canFit(task.reservation())
                && isPermitted(task, host)
                && mayShareHost(task, host, rules);
    }

    /**
     * Returns whether a host accepts a task in its current status, regardless of free resources.
     *
     * @param task the task
     * @param host the host
     * @return true if the status permits the task
     */
    public static boolean isAccepting(TaskRequest task, HostView host) {
        if (host.status() == HostStatus.PROBE) {
            return !task.urgent() && host.unconfirmedStarts() < MAXIMUM_PROBE_STARTS;
        }
        return host.status().acceptsWork();
    }

    /**
     * Returns whether the task's own constraints permit the host.
     *
     * @param task the task
     * @param host the host
     * @return true if the data centre matches and the host is not excluded
     */
    public static boolean isPermitted(TaskRequest task, HostView host) {
        Optional<String> dataCentre = task.dataCentre();
        return (dataCentre.isEmpty() || dataCentre.get().equals(host.dataCentre()))
                && (task.excludedHosts().isEmpty() || !task.excludedHosts().contains(host.host()));
    }

    /**
     * Returns whether the rules permit the task to share the host with the kinds on it.
     *
     * @param task the task
     * @param host the host
     * @param rules the rules in force
     * @return true if no kind on the host is separated from the task's kind
     */
    public static boolean mayShareHost(TaskRequest task, HostView host, RuleSet rules) {
        if (rules.separations().isEmpty()) {
            return true;
        }
        List<KindLoad> kinds = host.kinds();
        for (int index = 0; index < kinds.size(); index++) {
            if (!rules.mayShareHost(task.kind(), kinds.get(index).kind())) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns why a task can never run, so that it can be rejected at submission.
     *
     * <p>Each host counts with its full capacity regardless of its status, because it may recover.
     * A kind that is separated from the task's kind excludes a host only if the caller lists it as
     * permanent, such as the kind of a service instance.
     *
     * @param task the task
     * @param cluster all hosts, each with only its permanent kinds
     * @param rules the rules in force
     * @return the reason, empty if the task can run eventually
     */
    public static Optional<String> infeasibilityReason(
            TaskRequest task, ClusterView cluster, RuleSet rules) {
        Objects.requireNonNull(task, "task is null");
        Optional<Quota> quota = rules.quota(task.account());
        if (quota.isPresent() && !task.reservation().fitsWithin(quota.get().limit())) {
            return Optional.of(
                    "quota of account "
                            + task.account()
                            + " is "
                            + describe(quota.get().limit())
                            + ", the task needs "
                            + describe(task.reservation()));
        }
        return noHostReason(task, cluster, rules);
    }

    private static Optional<String> noHostReason(
            TaskRequest task, ClusterView cluster, RuleSet rules) {
        boolean sizeFits = false;
        boolean permitted = false;
        Resources largest = Resources.none();
        for (int index = 0; index < cluster.size(); index++) {
            HostView host = cluster.host(index);
            largest = largest.componentwiseMaximum(host.capacity());
            boolean fits = task.reservation().fitsWithin(host.capacity());
            sizeFits |= fits;
            permitted |= fits && isPermitted(task, host);
            if (fits && isPermitted(task, host) && mayShareHost(task, host, rules)) {
                return Optional.empty();
            }
        }
        if (!sizeFits) {
            return Optional.of(
                    "no host can hold "
                            + describe(task.reservation())
                            + "; the greatest capacities are "
                            + describe(largest));
        }
        return Optional.of(
                permitted
                        ? "the rules separate kind " + task.kind() + " from a kind on every host"
                        : "data centre and excluded hosts leave no host that is large enough");
    }

    private static String describe(Resources resources) {
        return "cpu="
                + resources.processorMillis() / 1000.0
                + " memory="
                + resources.memoryMebibytes()
                + "MiB accelerators="
                + resources.accelerators();
    }
}
