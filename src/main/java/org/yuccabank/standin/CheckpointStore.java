package org.yuccabank.standin;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * In-memory store for the task progress saved in checkpoints. Checkpoints on the platform can be
 * read by every worker, so the stand-in workers of a process share a store. Thread-safe.
 */
public final class CheckpointStore {

    private final Map<String, Double> progressByCheckpoint = new ConcurrentHashMap<>();

    private CheckpointStore() {}

    /**
     * Creates an empty store.
     *
     * @return the store
     */
    public static CheckpointStore empty() {
        return new CheckpointStore();
    }

    void save(String taskId, long generation, double progress) {
        progressByCheckpoint.put(taskId + '@' + generation, progress);
    }

    Optional<Double> load(String taskId, long generation) {
        return Optional.ofNullable(progressByCheckpoint.get(taskId + '@' + generation));
    }
}
