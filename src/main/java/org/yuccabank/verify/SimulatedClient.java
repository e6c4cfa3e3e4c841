package org.yuccabank.verify;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReadOutcome;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaNode;

/**
 * Simulated client or operator with one operation at a time, which it retries under the same
 * identifier until it receives a result. Not thread-safe.
 */
final class SimulatedClient {

    /** Workloads of clients. */
    enum Role {
        /** Reads and writes. */
        USER,
        /** Only reads, and keeps using a replica as long as it responds. */
        READER,
        /** Applies rules concurrently with the other operators. */
        OPERATOR
    }

    private static final long MAXIMUM_THINK_TIME_MILLIS = 80;

    /** Without writes, the log of an isolated replica can stay complete. */
    private static final long READ_ONLY_PHASE_MILLIS = 1_500;

    private static final long REQUEST_TIMEOUT_MILLIS = 250;
    private static final long REDIRECT_DELAY_MILLIS = 20;

    /**
     * Also sends requests to replicas that may not be leader, such as one with an expired lease.
     */
    private static final double RANDOM_REPLICA_PROBABILITY = 0.2;

    private static final Operation.Kind[] READ_KINDS = {
        Operation.Kind.READ_COUNTER, Operation.Kind.READ_REGISTER
    };

    private static final Operation.Kind[] USER_KINDS = {
        Operation.Kind.INCREMENT,
        Operation.Kind.INCREMENT,
        Operation.Kind.READ_COUNTER,
        Operation.Kind.READ_COUNTER,
        Operation.Kind.WRITE,
        Operation.Kind.READ_REGISTER
    };

    private final SimulatedGroup group;
    private final Simulation simulation;
    private final History history;
    private final int number;
    private final Role role;
    private Operation pendingOperation;
    private long sequence;
    private long attempt;
    private long knownRulesVersion;
    private String target = "r1";
    private boolean stopped;

    SimulatedClient(SimulatedGroup group, History history, int number, Role role) {
        this.group = group;
        this.history = history;
        this.number = number;
        this.role = role;
        simulation = group.simulation();
    }

    void start() {
        long thinkTime = simulation.random().nextLong(MAXIMUM_THINK_TIME_MILLIS) + 1;
        simulation.scheduleMillis(thinkTime, this::startOperation);
    }

    /** Stops after the pending operation. */
    void stop() {
        stopped = true;
    }

    boolean isIdle() {
        return pendingOperation == null;
    }

    private void startOperation() {
        if (stopped) {
            return;
        }
        if (role == Role.OPERATOR && isReadOnlyPhase()) {
            start();
            return;
        }
        sequence++;
        pendingOperation = nextOperation(simulation.random());
        history.recordInvocation(pendingOperation, simulation.nowMicros());
        attempt();
    }

    private boolean isReadOnlyPhase() {
        return group.plan().profile() == SchedulePlan.Profile.LEASES
                && simulation.nowMillis() / READ_ONLY_PHASE_MILLIS % 2 == 1;
    }

    private Operation nextOperation(RandomGenerator random) {
        if (role == Role.OPERATOR) {
            return new Operation(number, sequence, Operation.Kind.APPLY_RULES, knownRulesVersion);
        }
        Operation.Kind[] kinds = role == Role.READER || isReadOnlyPhase() ? READ_KINDS : USER_KINDS;
        Operation.Kind kind = kinds[random.nextInt(kinds.length)];
        return new Operation(number, sequence, kind, number * 1_000_000L + sequence);
    }

    private String address() {
        return "client" + number;
    }

    private void attempt() {
        attempt++;
        long attemptNumber = attempt;
        Operation operation = pendingOperation;
        String replicaId = choosesRandomReplica() ? randomReplica() : target;
        group.network()
                .send(
                        address(),
                        replicaId,
                        () ->
                                group.replica(replicaId)
                                        .ifPresent(
                                                replica ->
                                                        handleRequest(
                                                                replica,
                                                                operation,
                                                                attemptNumber)));
        simulation.scheduleMillis(
                REQUEST_TIMEOUT_MILLIS,
                () -> {
                    if (attempt == attemptNumber && operation.equals(pendingOperation)) {
                        target = randomReplica();
                        simulation.countFault(Fault.COMMAND_RESENT);
                        attempt();
                    }
                });
    }

    private boolean choosesRandomReplica() {
        return role != Role.READER && simulation.nextBoolean(RANDOM_REPLICA_PROBABILITY);
    }

    private String randomReplica() {
        List<String> ids = group.activeReplicaIds();
        return ids.get(simulation.random().nextInt(ids.size()));
    }

    /** Handles a request that has reached the replica. */
    private void handleRequest(SimulatedReplica replica, Operation operation, long attemptNumber) {
        long requiredIndex = group.checker().acknowledgedIndex();
        replica.handleInput(
                node -> {
                    if (operation.isRead()) {
                        read(replica, node, operation, attemptNumber, requiredIndex);
                    } else {
                        propose(replica, node, operation, attemptNumber);
                    }
                });
    }

    private void read(
            SimulatedReplica replica,
            ReplicaNode node,
            Operation operation,
            long attemptNumber,
            long requiredIndex) {
        node.readConfirmed(
                replica.nowMillis(),
                outcome -> {
                    if (outcome instanceof ReadOutcome.Confirmed) {
                        group.checker()
                                .checkConfirmedRead(
                                        replica.id(), requiredIndex, node.appliedIndex());
                        reply(replica, operation, replica.stateMachine().read(operation));
                    } else {
                        redirect(
                                replica, attemptNumber, ((ReadOutcome.NotLeader) outcome).leader());
                    }
                });
    }

    private void propose(
            SimulatedReplica replica, ReplicaNode node, Operation operation, long attemptNumber) {
        node.propose(
                operation.encode(),
                replica.nowMillis(),
                outcome -> {
                    if (outcome instanceof ProposalOutcome.Committed committed) {
                        group.checker().recordAcknowledged(committed.index());
                        reply(replica, operation, OperationResult.decode(committed.result()));
                    } else if (outcome instanceof ProposalOutcome.NotLeader notLeader) {
                        redirect(replica, attemptNumber, notLeader.leader());
                    }
                });
    }

    private void reply(SimulatedReplica replica, Operation operation, OperationResult result) {
        group.network().send(replica.id(), address(), () -> onResult(operation, result));
    }

    private void redirect(
            SimulatedReplica replica, long attemptNumber, Optional<ReplicaMember> leader) {
        group.network()
                .send(
                        replica.id(),
                        address(),
                        () ->
                                simulation.scheduleMillis(
                                        REDIRECT_DELAY_MILLIS,
                                        () -> onRedirect(attemptNumber, leader)));
    }

    private void onRedirect(long attemptNumber, Optional<ReplicaMember> leader) {
        if (pendingOperation != null && attempt == attemptNumber) {
            target = leader.map(ReplicaMember::replicaId).orElseGet(this::randomReplica);
            attempt();
        }
    }

    private void onResult(Operation operation, OperationResult result) {
        if (!operation.equals(pendingOperation)) {
            return;
        }
        pendingOperation = null;
        attempt++;
        history.recordCompletion(operation, simulation.nowMicros(), result);
        if (role == Role.OPERATOR) {
            group.checker().checkRules(operation, result);
            knownRulesVersion = result.value();
        }
        start();
    }
}
