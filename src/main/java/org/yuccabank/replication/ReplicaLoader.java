package org.yuccabank.replication;

import java.io.IOException;
import org.yuccabank.event.Event;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Loads a replica from its durable state. The storage and its directory are closed if that fails.
 * Not thread-safe.
 */
final class ReplicaLoader {

    private final ReplicaSettings settings;
    private final ReplicaNode.Environment environment;
    private final ReplicaOptions options;
    private final ReplicaStorage storage;

    ReplicaLoader(
            ReplicaSettings settings, ReplicaNode.Environment environment, ReplicaOptions options) {
        this.settings = settings;
        this.environment = environment;
        this.options = options;
        storage = new DiskStorage(environment.directory(), settings, environment.eventListener());
    }

    /** Loads the durable state from a storage. */
    interface Source {

        StoredState load(ReplicaStorage storage) throws IOException;
    }

    Result<ReplicaNode> load(long nowMillis, Source source) {
        try {
            StoredState stored = source.load(storage);
            SnapshotData snapshot = stored.snapshot();
            environment.stateMachine().restore(snapshot.data().toByteArray());
            ReplicaCore core =
                    new ReplicaCore(settings, options, stored, environment.random(), nowMillis);
            return Result.success(
                    new ReplicaNode(settings, environment, storage, core, snapshot.lastIndex()));
        } catch (IOException exception) {
            boolean corrupt = exception instanceof CorruptStorageException;
            environment
                    .eventListener()
                    .onEvent(
                            corrupt ? Event.LOG_CORRUPT : Event.DISK_FAILED,
                            "replica",
                            settings.replicaId(),
                            "problem",
                            exception.getMessage());
            ReplicaNode.closeQuietly(storage);
            return Result.failure(
                    SourcePosition.ofSource(settings.directory().toString()),
                    exception.getMessage());
        } catch (RuntimeException exception) {
            ReplicaNode.closeQuietly(storage);
            throw exception;
        }
    }
}
