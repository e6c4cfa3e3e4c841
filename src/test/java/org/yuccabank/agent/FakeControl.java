package org.yuccabank.agent;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.protocol.generated.AgentDirectives;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.TaskDirective;
import org.yuccabank.protocol.generated.TaskState;

/**
 * A fake control that ignores capacity and sometimes grants a second lease of a pinned task to the
 * same host while the first may still be active. Other tasks may move to another host, but only
 * after the end of the lease was confirmed or the lease has expired with its margin.
 */
final class FakeControl {

    private static final long LEASE_MILLIS = 10_000;
    private static final long EXPIRY_MILLIS = LEASE_MILLIS * 11 / 10 + 1_000;
    private static final int TASKS = 6;

    // Tasks that receive a second lease too early; on another host this would be a fault of
    // control.
    private static final int PINNED_TASKS = 2;

    private final AgentSimulation simulation;
    private final Map<String, Lease> leases = new LinkedHashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final Map<String, Long> generations = new HashMap<>();
    private final Map<String, Claim> claims = new HashMap<>();
    private long lastToken;

    /** Control's record of a lease. */
    private static final class Lease {
        private final AgentSimulation.Host host;
        private final long token;
        private long renewedAt;
        private boolean stopRequested;

        private Lease(AgentSimulation.Host host, long token, long now) {
            this.host = host;
            this.token = token;
            this.renewedAt = now;
        }
    }

    /** Control's record of a claim on a key. */
    private record Claim(
            long token, long incarnation, AgentSimulation.Host host, OutcomeKind outcome) {}

    FakeControl(AgentSimulation simulation) {
        this.simulation = simulation;
    }

    void step() {
        leases.values().removeIf(lease -> simulation.now() - lease.renewedAt > EXPIRY_MILLIS);
        int number = simulation.random.nextInt(TASKS);
        boolean pinned = number < PINNED_TASKS;
        String task = "task-" + number;
        Lease current = leases.get(task);
        if (current == null) {
            int host = pinned ? number : simulation.random.nextInt(simulation.hosts.size());
            grant(task, simulation.hosts.get(host % simulation.hosts.size()));
        } else if (simulation.chance(0.2)) {
            current.stopRequested = true;
        } else if (pinned && simulation.chance(0.2)) {
            grant(task, current.host);
        }
    }

    private void grant(String task, AgentSimulation.Host host) {
        Lease lease = new Lease(host, ++lastToken, simulation.now());
        leases.put(task, lease);
        long sequence = sequences.getOrDefault(host.id, 0L);
        AgentDirectives pushed =
                AgentDirectives.newBuilder()
                        .setAcknowledgedSequence(sequence)
                        .addDirectives(start(task, lease))
                        .build();
        deliver(host, core -> core.onPushedDirectives(pushed, simulation.now()));
    }

    private TaskDirective start(String task, Lease lease) {
        return TaskDirective.newBuilder()
                .setAction(TaskDirective.Action.START)
                .setTaskId(task)
                .setKind("render")
                .setFencingToken(lease.token)
                .setLeaseMillis(LEASE_MILLIS)
                .setRunTimeMillis(20_000)
                .setCheckpointIntervalMillis(3_000)
                .setCheckpointGeneration(generations.getOrDefault(task, 0L))
                .setReservation(
                        ResourceVectors.toMessage(org.yuccabank.model.Resources.of(1_300, 10, 0)))
                .build();
    }

    private void deliver(
            AgentSimulation.Host host, java.util.function.Consumer<AgentCore> delivery) {
        simulation.deliverUnreliably(
                () -> {
                    if (host.pausedUntil > simulation.now()) {
                        simulation.schedule(
                                host.pausedUntil - simulation.now(),
                                () -> delivery.accept(host.core));
                    } else {
                        delivery.accept(host.core);
                    }
                });
    }

    void report(AgentSimulation.Host host, AgentReport report) {
        long known = incarnations.getOrDefault(host.id, 0L);
        if (report.getIncarnation() < known) {
            return;
        }
        if (report.getIncarnation() > known) {
            incarnations.put(host.id, report.getIncarnation());
            sequences.put(host.id, 0L);
        }
        if (report.getSequence() <= sequences.get(host.id)) {
            return;
        }
        sequences.put(host.id, report.getSequence());
        AgentDirectives.Builder reply =
                AgentDirectives.newBuilder()
                        .setAcknowledgedSequence(report.getSequence())
                        .setLeaseMillis(LEASE_MILLIS);
        report.getTasksList().forEach(this::applyReported);
        for (ClaimOutcome outcome : report.getClaimOutcomesList()) {
            applyReported(outcome);
            reply.addAcknowledgedClaimTokens(outcome.getFencingToken());
        }
        for (Map.Entry<String, Lease> entry : leases.entrySet()) {
            Lease lease = entry.getValue();
            if (lease.host == host) {
                lease.renewedAt = simulation.now();
                reply.addRenewedTokens(lease.token);
                reply.addDirectives(
                        lease.stopRequested
                                ? start(entry.getKey(), lease).toBuilder()
                                        .setAction(TaskDirective.Action.STOP)
                                        .build()
                                : start(entry.getKey(), lease));
            }
        }
        AgentDirectives directives = reply.build();
        deliver(host, core -> core.onDirectives(directives, 0, simulation.now()));
    }

    private void applyReported(TaskState task) {
        Lease lease = leases.get(task.getTaskId());
        if (lease == null || lease.token != task.getFencingToken()) {
            return;
        }
        generations.merge(task.getTaskId(), task.getConfirmedCheckpoint(), Math::max);
        switch (task.getPhase()) {
            case TASK_STOPPED, TASK_FINISHED, TASK_FAILED, TASK_REFUSED ->
                    leases.remove(task.getTaskId());
            default -> {}
        }
    }

    private void applyReported(ClaimOutcome outcome) {
        if (outcome.getOutcome() == OutcomeKind.NOT_RUN) {
            simulation.reportedNotRun.add(outcome.getKey() + "@" + outcome.getFencingToken());
            if (releaseClaim(outcome.getKey(), outcome.getFencingToken())) {
                simulation.startRequest(outcome.getKey());
            }
        } else {
            claims.computeIfPresent(
                    outcome.getKey(),
                    (key, claim) ->
                            claim.token() == outcome.getFencingToken()
                                    ? new Claim(
                                            claim.token(),
                                            claim.incarnation(),
                                            claim.host(),
                                            outcome.getOutcome())
                                    : claim);
        }
    }

    long incarnation(AgentSimulation.Host host) {
        return incarnations.getOrDefault(host.id, 0L);
    }

    Optional<Long> claim(String key, AgentSimulation.Host host) {
        if (claims.containsKey(key) || incarnation(host) == 0) {
            return Optional.empty();
        }
        long token = ++lastToken;
        claims.put(key, new Claim(token, incarnation(host), host, OutcomeKind.IN_PROGRESS));
        return Optional.of(token);
    }

    /** Releases a claim that did not run. Returns false if it is no longer the open claim. */
    boolean releaseClaim(String key, long token) {
        Claim claim = claims.get(key);
        boolean open =
                claim != null
                        && claim.token() == token
                        && claim.outcome() == OutcomeKind.IN_PROGRESS
                        && incarnation(claim.host()) == claim.incarnation();
        if (open) {
            claims.remove(key);
        }
        return open;
    }
}
