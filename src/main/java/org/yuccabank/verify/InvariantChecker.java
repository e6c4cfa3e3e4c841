package org.yuccabank.verify;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.replication.ReplicaNode;
import org.yuccabank.replication.ReplicaRole;

/**
 * Checks the replicas of a schedule against the safety properties of the protocol. It uses only
 * roles, logs, applied commands and the results that clients receive. Not thread-safe.
 */
final class InvariantChecker implements CheckedStateMachine.Observer {

    /** Committed command, with the newest term that had a leader when it was first applied. */
    private record Command(int commandHash, long stateDigest, long newestLeaderTerm) {

        private boolean matches(Command other) {
            return commandHash == other.commandHash && stateDigest == other.stateDigest;
        }
    }

    private final long seed;
    private final List<Violation> violations = new ArrayList<>();
    private final Map<Long, String> leadersByTerm = new HashMap<>();
    private final TreeMap<Long, Command> committedCommands = new TreeMap<>();
    private final Map<Long, Integer> rulesOwners = new HashMap<>();
    private long acknowledgedIndex;
    private long newestLeaderTerm;

    InvariantChecker(long seed) {
        this.seed = seed;
    }

    void report(Violation.Property property, String detail) {
        violations.add(new Violation(property, seed, detail));
    }

    List<Violation> violations() {
        return violations;
    }

    int leaderChanges() {
        return leadersByTerm.size();
    }

    @Override
    public void onApplied(long index, byte[] command, long digest) {
        Command current = new Command(Arrays.hashCode(command), digest, newestLeaderTerm);
        Command previous = committedCommands.putIfAbsent(index, current);
        if (previous != null && !previous.matches(current)) {
            report(
                    Violation.Property.EQUAL_ORDER,
                    "index " + index + " was applied with a different command or state");
        }
    }

    @Override
    public void onRestored(long index, long digest) {
        Command previous = committedCommands.get(index);
        if (previous != null && previous.stateDigest() != digest) {
            report(
                    Violation.Property.EQUAL_ORDER,
                    "snapshot at index " + index + " differs from the applied commands");
        }
    }

    /** Checks a replica after each of its steps: a term must have at most one leader. */
    void checkLeader(String replicaId, ReplicaNode node) {
        if (node.role() != ReplicaRole.LEADER) {
            return;
        }
        String previous = leadersByTerm.putIfAbsent(node.term(), replicaId);
        if (previous == null) {
            checkLeaderCompleteness(replicaId, node);
        } else if (!previous.equals(replicaId)) {
            report(
                    Violation.Property.ONE_LEADER_PER_TERM,
                    previous + " and " + replicaId + " are both leader in term " + node.term());
        }
    }

    /**
     * Checks that a new leader has all entries committed in earlier terms. A candidate may win an
     * election late, in a term that newer terms have superseded; entries committed in newer terms
     * are not required.
     */
    private void checkLeaderCompleteness(String replicaId, ReplicaNode node) {
        newestLeaderTerm = Math.max(newestLeaderTerm, node.term());
        List<LogEntry> entries = node.entries(1, Long.MAX_VALUE);
        long last = node.status().lastIndex();
        long first = last - entries.size() + 1;
        for (Map.Entry<Long, Command> commandByIndex :
                committedCommands.tailMap(first, true).entrySet()) {
            if (commandByIndex.getValue().newestLeaderTerm() >= node.term()) {
                continue;
            }
            boolean present =
                    commandByIndex.getKey() <= last
                            && payloadHash(entries.get((int) (commandByIndex.getKey() - first)))
                                    == commandByIndex.getValue().commandHash();
            if (!present) {
                reportMissingEntry(replicaId, commandByIndex.getKey());
                return;
            }
        }
    }

    private static int payloadHash(LogEntry entry) {
        return Arrays.hashCode(entry.getPayload().toByteArray());
    }

    private void reportMissingEntry(String replicaId, long index) {
        report(
                Violation.Property.COMMITTED_ENTRIES_KEPT,
                "leader " + replicaId + " lacks committed entry " + index);
    }

    /** Checks that two logs with the same term at an index are equal up to that index. */
    void checkLogs(Collection<ReplicaNode> nodes) {
        List<List<LogEntry>> logs = new ArrayList<>();
        nodes.forEach(node -> logs.add(node.entries(1, Long.MAX_VALUE)));
        for (int first = 0; first < logs.size(); first++) {
            for (int second = first + 1; second < logs.size(); second++) {
                compareLogs(logs.get(first), logs.get(second));
            }
        }
    }

    private void compareLogs(List<LogEntry> one, List<LogEntry> other) {
        if (one.isEmpty() || other.isEmpty()) {
            return;
        }
        long start = Math.max(one.get(0).getIndex(), other.get(0).getIndex());
        long end = Math.min(lastIndex(one), lastIndex(other));
        boolean matched = false;
        for (long index = end; index >= start; index--) {
            LogEntry left = one.get((int) (index - one.get(0).getIndex()));
            LogEntry right = other.get((int) (index - other.get(0).getIndex()));
            matched |= left.getTerm() == right.getTerm();
            if (matched && !left.equals(right)) {
                report(Violation.Property.LOG_MATCHING, "logs differ at index " + index);
                return;
            }
        }
    }

    private static long lastIndex(List<LogEntry> entries) {
        return entries.get(entries.size() - 1).getIndex();
    }

    /** Returns the highest log index that any replica has acknowledged as committed. */
    long acknowledgedIndex() {
        return acknowledgedIndex;
    }

    void recordAcknowledged(long index) {
        acknowledgedIndex = Math.max(acknowledgedIndex, index);
    }

    void checkConfirmedRead(String replicaId, long requiredIndex, long appliedIndex) {
        if (appliedIndex < requiredIndex) {
            report(
                    Violation.Property.NO_STALE_READ,
                    replicaId + " read at index " + appliedIndex + ", required " + requiredIndex);
        }
    }

    /**
     * Checks an operator's result: each version has one owner, and a rejection must name a newer
     * version that is not the operator's own change.
     */
    void checkRules(Operation operation, OperationResult result) {
        Integer owner = rulesOwners.putIfAbsent(result.value(), result.owner());
        boolean ownerDiffers = owner != null && owner != result.owner();
        boolean versionNotNewer = !result.accepted() && result.value() <= operation.argument();
        boolean resultLost =
                !result.accepted()
                        && result.value() == operation.argument() + 1
                        && result.owner() == operation.client();
        if (ownerDiffers || versionNotNewer || resultLost) {
            report(
                    Violation.Property.ONE_WINNER,
                    "operator " + operation.client() + " got " + result + ", owner " + owner);
        }
    }

    void checkHistory(History history) {
        checkObject(history, Operation.Kind.INCREMENT, Operation.Kind.READ_COUNTER);
        checkObject(history, Operation.Kind.WRITE, Operation.Kind.READ_REGISTER);
    }

    private void checkObject(History history, Operation.Kind write, Operation.Kind read) {
        LinearizabilityChecker.Verdict verdict =
                LinearizabilityChecker.check(history.ofKinds(write, read));
        if (verdict != LinearizabilityChecker.Verdict.LINEARIZABLE) {
            report(Violation.Property.LINEARIZABLE, "history of " + write + " is " + verdict);
        }
    }
}
