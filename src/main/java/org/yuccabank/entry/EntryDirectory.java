package org.yuccabank.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.model.TargetId;
import org.yuccabank.policy.routing.Candidate;
import org.yuccabank.policy.routing.Router;
import org.yuccabank.protocol.PeerAddress;
import org.yuccabank.protocol.PeerClient;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.Directory;
import org.yuccabank.protocol.generated.DirectoryEntry;
import org.yuccabank.protocol.generated.RulesVersion;
import org.yuccabank.protocol.generated.TargetState;
import org.yuccabank.result.Result;
import org.yuccabank.rules.ParsedRules;
import org.yuccabank.rules.RuleSet;
import org.yuccabank.rules.RulesParser;

/**
 * Local copy of the hosts, targets and rules that control distributes.
 *
 * <p>Invariant: the version of the rules never decreases. Confined to the decision thread, except
 * for {@link #configurationVersion}.
 */
final class EntryDirectory {

    /** Assumed one-way network delay within a data centre. */
    private static final long SAME_DATA_CENTRE_DELAY_MICROS = 100;

    /** Assumed one-way network delay between data centres. */
    private static final long CROSS_DATA_CENTRE_DELAY_MICROS = 1_500;

    private final PeerTransport transport;
    private final String dataCentre;
    private final Supplier<Router> routerFactory;
    private final Map<String, Router> routersByService = new HashMap<>();
    private final Map<String, Set<TargetId>> targetsByService = new HashMap<>();
    private final Map<TargetId, Location> locationsByTarget = new HashMap<>();
    private final Map<String, PeerClient> agentsByHost = new HashMap<>();
    private RuleSet rules = RuleSet.empty();
    private long revision;
    private volatile long configurationVersion;

    EntryDirectory(PeerTransport transport, String dataCentre, Supplier<Router> routerFactory) {
        this.transport = transport;
        this.dataCentre = dataCentre;
        this.routerFactory = routerFactory;
    }

    /**
     * The location of a target.
     *
     * @param hostId identifier of the host
     * @param incarnation incarnation of the agent that announced the target
     * @param agent client connected to that agent
     */
    record Location(String hostId, long incarnation, PeerClient agent) {}

    long configurationVersion() {
        return configurationVersion;
    }

    long revision() {
        return revision;
    }

    RuleSet rules() {
        return rules;
    }

    Optional<Router> router(String service) {
        return Optional.ofNullable(routersByService.get(service));
    }

    Optional<Location> location(TargetId target) {
        return Optional.ofNullable(locationsByTarget.get(target));
    }

    /**
     * Returns the client connected to the agent of a host.
     *
     * @param hostId identifier of the host
     * @return the client, or empty if the host is unknown
     */
    Optional<PeerClient> agentOfHost(String hostId) {
        return Optional.ofNullable(agentsByHost.get(hostId));
    }

    /**
     * Applies a directory received from control.
     *
     * @param directory the directory
     * @param nowMillis current time in milliseconds
     */
    void update(Directory directory, long nowMillis) {
        if (directory.hasRules()) {
            updateRules(directory.getRules());
        }
        if (directory.getUnchanged()) {
            return;
        }
        revision = directory.getRevision();
        Map<String, Set<TargetId>> currentTargets = new HashMap<>();
        for (DirectoryEntry host : directory.getHostsList()) {
            PeerClient agent = getOrCreateAgentClient(host);
            for (TargetState target : host.getTargetsList()) {
                TargetId targetId = TargetId.of(target.getTargetId());
                locationsByTarget.put(
                        targetId, new Location(host.getHostId(), host.getIncarnation(), agent));
                currentTargets
                        .computeIfAbsent(target.getService(), service -> new HashSet<>())
                        .add(targetId);
                routersByService
                        .computeIfAbsent(target.getService(), service -> routerFactory.get())
                        .update(toCandidate(host, target), nowMillis);
            }
        }
        removeAbsent(currentTargets);
    }

    /**
     * Applies rules received from control or an agent. Older or equal versions are ignored, and
     * invalid rules are logged and ignored.
     *
     * @param version the rules with their version
     */
    void updateRules(RulesVersion version) {
        if (version.getVersion() <= configurationVersion) {
            return;
        }
        Result<ParsedRules> parsed = RulesParser.parse(version.getText(), "rules");
        if (!parsed.isSuccess()) {
            EventLog.warning(
                    Event.CONFIGURATION_REFUSED,
                    "version",
                    version.getVersion(),
                    "findings",
                    parsed.findings());
            return;
        }
        rules = parsed.get().ruleSet();
        configurationVersion = version.getVersion();
        EventLog.information(Event.CONFIGURATION_APPLIED, "version", version.getVersion());
    }

    private PeerClient getOrCreateAgentClient(DirectoryEntry host) {
        PeerClient existing = agentsByHost.get(host.getHostId());
        InetSocketAddress address = PeerAddress.parse(host.getAgentAddress());
        if (existing != null && existing.address().equals(address)) {
            return existing;
        }
        if (existing != null) {
            existing.stop();
        }
        PeerClient client = PeerClient.of(transport, address, PeerHandler.none());
        agentsByHost.put(host.getHostId(), client);
        return client;
    }

    private Candidate toCandidate(DirectoryEntry host, TargetState target) {
        Candidate.State state =
                target.getLeaving()
                        ? Candidate.State.LEAVING
                        : host.getSuspect() ? Candidate.State.SUSPECT : Candidate.State.READY;
        long delayMicros =
                host.getDataCentre().equals(dataCentre)
                        ? SAME_DATA_CENTRE_DELAY_MICROS
                        : CROSS_DATA_CENTRE_DELAY_MICROS;
        int slots = Math.max(1, target.getSlots());
        return new Candidate(
                TargetId.of(target.getTargetId()),
                delayMicros,
                slots,
                Math.max(slots, target.getConnections()),
                state);
    }

    private void removeAbsent(Map<String, Set<TargetId>> currentTargets) {
        targetsByService.forEach(
                (service, targets) -> {
                    Set<TargetId> remaining = currentTargets.getOrDefault(service, Set.of());
                    for (TargetId target : targets) {
                        if (!remaining.contains(target)) {
                            routersByService.get(service).remove(target);
                            locationsByTarget.remove(target);
                        }
                    }
                });
        targetsByService.clear();
        targetsByService.putAll(currentTargets);
    }

    void stop() {
        agentsByHost.values().forEach(PeerClient::stop);
    }
}
