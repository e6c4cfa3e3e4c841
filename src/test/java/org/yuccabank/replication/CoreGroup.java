package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import org.yuccabank.protocol.generated.HardState;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.Membership;
import org.yuccabank.protocol.generated.ReplicaMessage;

/** Group of replica cores whose messages a test delivers selectively; writes sync immediately. */
final class CoreGroup {

    private final Map<String, ReplicaCore> cores = new HashMap<>();
    private final Map<String, List<String>> committed = new HashMap<>();
    private final Map<String, Integer> reads = new HashMap<>();
    private final ToLongFunction<String> clock;

    CoreGroup(
            List<String> ids,
            ReplicaTiming timing,
            ReplicaOptions options,
            ToLongFunction<String> clock) {
        this.clock = clock;
        Membership.Builder members = Membership.newBuilder();
        ids.forEach(id -> members.addMembers(ReplicaMember.voter(id, id).toProto()));
        SnapshotData snapshot = new SnapshotData(0, 0, members.build(), ByteString.EMPTY);
        for (String id : ids) {
            ReplicaSettings settings =
                    new ReplicaSettings("g", id, Path.of("none"), List.of(), timing, 1000, 1);
            StoredState stored =
                    new StoredState(HardState.getDefaultInstance(), snapshot, 0, 0, List.of());
            // The random values do not matter with an election jitter of 1 ms.
            cores.put(
                    id,
                    new ReplicaCore(
                            settings,
                            options,
                            stored,
                            RandomGenerator.of("L64X128MixRandom"),
                            clock.applyAsLong(id)));
            committed.put(id, new ArrayList<>());
        }
    }

    ReplicaCore core(String id) {
        return cores.get(id);
    }

    List<String> committed(String id) {
        return committed.get(id);
    }

    int reads(String id) {
        return reads.getOrDefault(id, 0);
    }

    void tick(String id) {
        cores.get(id).tick(clock.applyAsLong(id));
    }

    void propose(String id, String command) {
        cores.get(id).propose(command.getBytes(StandardCharsets.UTF_8), clock.applyAsLong(id));
    }

    void read(String id) {
        cores.get(id).requestRead(clock.applyAsLong(id));
    }

    /** Delivers messages until none are left; messages that do not match the filter are lost. */
    void deliver(Predicate<ReplicaMessage> filter) {
        List<ReplicaMessage> messages = takeMessages();
        while (!messages.isEmpty()) {
            messages.stream()
                    .filter(filter)
                    .forEach(
                            message ->
                                    cores.get(message.getTo())
                                            .receive(message, clock.applyAsLong(message.getTo())));
            messages = takeMessages();
        }
    }

    private List<ReplicaMessage> takeMessages() {
        List<ReplicaMessage> messages = new ArrayList<>();
        cores.forEach(
                (id, core) -> {
                    CoreOutput output = core.takeOutput();
                    while (!output.isEmpty()) {
                        messages.addAll(output.messages());
                        output.writes()
                                .ifPresent(
                                        batch ->
                                                core.onSynced(
                                                        batch.sequence(), clock.applyAsLong(id)));
                        output.committed().forEach(entry -> recordCommitted(id, entry));
                        reads.merge(id, output.reads().size(), Integer::sum);
                        output = core.takeOutput();
                    }
                });
        return messages;
    }

    private void recordCommitted(String id, LogEntry entry) {
        if (entry.getType() == LogEntry.Type.COMMAND) {
            committed.get(id).add(entry.getPayload().toStringUtf8());
        }
    }
}
