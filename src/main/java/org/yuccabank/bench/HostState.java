package org.yuccabank.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yuccabank.model.HostId;
import org.yuccabank.model.Resources;
import org.yuccabank.policy.eviction.EvictionCandidate;
import org.yuccabank.policy.eviction.ProtectionState;
import org.yuccabank.policy.interference.LoadHistory;
import org.yuccabank.policy.placement.HostStatus;
import org.yuccabank.policy.placement.HostView;
import org.yuccabank.policy.placement.KindLoad;

/** State of a host as known to the scheduler from its leases and reports. Not thread-safe. */
final class HostState {

    private static final int HOSTS_PER_RACK = 3;
    private static final int DATA_CENTRES = 3;

    final HostId id;
    final int index;
    final Resources capacity;
    final Map<Long, Lease> leases = new LinkedHashMap<>();
    final LoadHistory history = LoadHistory.create();
    ProtectionState protection = ProtectionState.INITIAL;
    HostStatus status = HostStatus.READY;
    long lastReportMillis;
    double slotUtilisation;

    private final List<KindProfile> kinds;
    private final String rack;
    private final String dataCentre;
    private Resources reserved = Fleet.SERVICE_RESERVATION;
    private int unconfirmedStarts;
    private HostView view;

    HostState(int index, Resources capacity, List<KindProfile> kinds) {
        this.index = index;
        this.id = HostId.of("host-" + index);
        this.capacity = capacity;
        this.kinds = kinds;
        this.rack = "rack-" + index / HOSTS_PER_RACK;
        this.dataCentre = "dc-" + index / HOSTS_PER_RACK % DATA_CENTRES;
    }

    void add(Lease lease) {
        leases.put(lease.token, lease);
        reserved = reserved.plus(lease.reservation);
        unconfirmedStarts++;
        view = null;
    }

    Lease remove(long token) {
        Lease lease = leases.remove(token);
        if (lease != null) {
            reserved = reserved.minus(lease.reservation);
            unconfirmedStarts -= lease.startConfirmed ? 0 : 1;
            view = null;
        }
        return lease;
    }

    void confirmStart(Lease lease) {
        lease.startConfirmed = true;
        unconfirmedStarts--;
        view = null;
    }

    void invalidateView() {
        view = null;
    }

    void setStatus(HostStatus newStatus) {
        if (status != newStatus) {
            status = newStatus;
            view = null;
        }
    }

    /** Returns an immutable view for placement, which is rebuilt after changes. */
    HostView view() {
        if (view == null) {
            view =
                    new HostView(
                            id,
                            dataCentre,
                            rack,
                            status,
                            capacity,
                            reserved,
                            loadByKind(false),
                            slotUtilisation,
                            lastReportMillis,
                            unconfirmedStarts);
        }
        return view;
    }

    /**
     * Returns the load of each kind.
     *
     * @param startedOnly true to count only tasks that a report has shown as started, false to
     *     count every lease
     */
    List<KindLoad> loadByKind(boolean startedOnly) {
        long[] processorMillis = new long[kinds.size()];
        int[] taskCounts = new int[kinds.size()];
        processorMillis[Example.SERVICE_KIND] =
                (long) (slotUtilisation * Fleet.SERVICE_RESERVATION.processorMillis());
        taskCounts[Example.SERVICE_KIND] = 1;
        for (Lease lease : leases.values()) {
            if (!startedOnly || lease.startedAtMillis >= 0) {
                processorMillis[lease.task.kind] += lease.usedProcessorMillis;
                taskCounts[lease.task.kind]++;
            }
        }
        List<KindLoad> load = new ArrayList<>(kinds.size());
        for (int kind = 0; kind < processorMillis.length; kind++) {
            if (taskCounts[kind] > 0) {
                KindProfile profile = kinds.get(kind);
                load.add(
                        new KindLoad(
                                profile.kind(),
                                kind == Example.SERVICE_KIND,
                                taskCounts[kind],
                                processorMillis[kind]));
            }
        }
        return load;
    }

    /** Returns the batch tasks that may be throttled or stopped. */
    List<EvictionCandidate> evictionCandidates(long nowMillis) {
        List<EvictionCandidate> candidates = new ArrayList<>();
        for (Lease lease : leases.values()) {
            if (!lease.task.urgent() && !lease.stopping) {
                candidates.add(
                        new EvictionCandidate(
                                lease.task.id,
                                lease.task.profile.kind(),
                                lease.reservation,
                                lease.usedProcessorMillis,
                                lease.task.checkpointable(),
                                lease.throttled,
                                lease.startedAtMillis < 0 ? 0 : lease.atRiskMillis));
            }
        }
        return candidates;
    }
}
