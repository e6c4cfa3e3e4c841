package org.yuccabank.standin;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Progress saved in checkpoints. The platform keeps checkpoints where every worker can read them,
 * so stand-ins of one process share a store. Thread-safe.
 */
public final class CheckpointStore {

    private final Map<String, Double> progress = new ConcurrentHashMap<>();

    private CheckpointStore() {}

    /**
     * Creates an empty store.
     *
     * @return the store
     */
    public static CheckpointStore empty() {
        return new CheckpointStore();
    }

    void save(String taskId, long generation, double share) {
        progress.put(taskId + '@' + generation, share);
    }

    Optional<Double> load(String taskId, long generation) {
        return Optional.ofNullable(progress.get(taskId + '@' + generation));
    }
}
