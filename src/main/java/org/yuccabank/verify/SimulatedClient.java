package org.yuccabank.verify;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.yuccabank.replication.ProposalOutcome;
import org.yuccabank.replication.ReadOutcome;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaNode;

/**
 * Client or operator with one operation at a time, which it sends again with the same identifier
 * until it is answered. Not thread-safe.
 */
final class SimulatedClient {

    /** What a client does. */
    enum Role {
        /** Reads and writes. */
        USER,
        /** Only reads, and stays with a replica as long as that answers. */
        READER,
        /** Applies rules, in competition with the other operators. */
        OPERATOR
    }

    private static final long MAXIMUM_PAUSE_MILLIS = 80;

    /** Phases without writes let a replica that was cut off have a complete log. */
    private static final long QUIET_PHASE_MILLIS = 1_500;

    private static final long TIMEOUT_MILLIS = 250;
    private static final long REDIRECT_MILLIS = 20;

    /** Some requests go to a replica that need not lead, such as one whose lease has ended. */
    private static final double STRAY_CHANCE = 0.2;

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
    private Operation present;
    private long sequence;
    private long attempt;
    private long knownVersion;
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
        long pause = simulation.random().nextLong(MAXIMUM_PAUSE_MILLIS) + 1;
        simulation.afterMillis(pause, this::begin);
    }

    /** Starts no further operation. */
    void stop() {
        stopped = true;
    }

    boolean isIdle() {
        return present == null;
    }

    private void begin() {
        if (stopped) {
            return;
        }
        if (role == Role.OPERATOR && isQuiet()) {
            start();
            return;
        }
        sequence++;
        present = choose(simulation.random());
        history.invoked(present, simulation.nowMicros());
        attempt();
    }

    private boolean isQuiet() {
        return group.plan().profile() == SchedulePlan.Profile.LEASES
                && simulation.nowMillis() / QUIET_PHASE_MILLIS % 2 == 1;
    }

    private Operation choose(RandomGenerator random) {
        if (role == Role.OPERATOR) {
            return new Operation(number, sequence, Operation.Kind.APPLY_RULES, knownVersion);
        }
        Operation.Kind[] kinds = role == Role.READER || isQuiet() ? READ_KINDS : USER_KINDS;
        Operation.Kind kind = kinds[random.nextInt(kinds.length)];
        return new Operation(number, sequence, kind, number * 1_000_000L + sequence);
    }

    private String address() {
        return "client" + number;
    }

    private void attempt() {
        attempt++;
        long sent = attempt;
        Operation operation = present;
        String replicaId = isStray() ? anyReplica() : target;
        group.network()
                .send(
                        address(),
                        replicaId,
                        () ->
                                group.replica(replicaId)
                                        .ifPresent(replica -> serve(replica, operation, sent)));
        simulation.afterMillis(
                TIMEOUT_MILLIS,
                () -> {
                    if (attempt == sent && operation.equals(present)) {
                        target = anyReplica();
                        simulation.count(Fault.COMMAND_RESENT);
                        attempt();
                    }
                });
    }

    private boolean isStray() {
        return role != Role.READER && simulation.chance(STRAY_CHANCE);
    }

    private String anyReplica() {
        List<String> ids = group.presentIds();
        return ids.get(simulation.random().nextInt(ids.size()));
    }

    /** Handles the request on the replica. */
    private void serve(SimulatedReplica replica, Operation operation, long sent) {
        long required = group.checker().acknowledgedIndex();
        replica.run(
                node -> {
                    if (operation.isRead()) {
                        read(replica, node, operation, sent, required);
                    } else {
                        propose(replica, node, operation, sent);
                    }
                });
    }

    private void read(
            SimulatedReplica replica,
            ReplicaNode node,
            Operation operation,
            long sent,
            long required) {
        node.readConfirmed(
                replica.nowMillis(),
                outcome -> {
                    if (outcome instanceof ReadOutcome.Confirmed) {
                        group.checker().confirmedRead(replica.id(), required, node.appliedIndex());
                        reply(replica, operation, replica.machine().read(operation));
                    } else {
                        redirect(replica, sent, ((ReadOutcome.NotLeader) outcome).leader());
                    }
                });
    }

    private void propose(
            SimulatedReplica replica, ReplicaNode node, Operation operation, long sent) {
        node.propose(
                operation.encode(),
                replica.nowMillis(),
                outcome -> {
                    if (outcome instanceof ProposalOutcome.Committed done) {
                        group.checker().acknowledged(done.index());
                        reply(replica, operation, Answer.decode(done.result()));
                    } else if (outcome instanceof ProposalOutcome.NotLeader other) {
                        redirect(replica, sent, other.leader());
                    }
                });
    }

    private void reply(SimulatedReplica replica, Operation operation, Answer answer) {
        group.network().send(replica.id(), address(), () -> onAnswer(operation, answer));
    }

    private void redirect(SimulatedReplica replica, long sent, Optional<ReplicaMember> leader) {
        group.network()
                .send(
                        replica.id(),
                        address(),
                        () ->
                                simulation.afterMillis(
                                        REDIRECT_MILLIS, () -> onRedirect(sent, leader)));
    }

    private void onRedirect(long sent, Optional<ReplicaMember> leader) {
        if (present != null && attempt == sent) {
            target = leader.map(ReplicaMember::replicaId).orElseGet(this::anyReplica);
            attempt();
        }
    }

    private void onAnswer(Operation operation, Answer answer) {
        if (!operation.equals(present)) {
            return;
        }
        present = null;
        attempt++;
        history.answered(operation, simulation.nowMicros(), answer);
        if (role == Role.OPERATOR) {
            group.checker().checkRules(operation, answer);
            knownVersion = answer.value();
        }
        start();
    }
}
