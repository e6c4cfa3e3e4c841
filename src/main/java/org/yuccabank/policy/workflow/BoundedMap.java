package org.yuccabank.policy.workflow;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts the entry inserted first when it exceeds its maximum size. Not thread-safe.
 *
 * @param <K> type of the keys
 * @param <V> type of the values
 */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

    private static final long serialVersionUID = 1L;

    private final int maximumSize;

    BoundedMap(int maximumSize) {
        this.maximumSize = maximumSize;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maximumSize;
    }
}
