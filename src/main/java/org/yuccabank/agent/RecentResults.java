package org.yuccabank.agent;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.protocol.generated.ClaimOutcome;

/**
 * A cache of the responses to recent idempotent requests, from which an entry that lost its
 * connection can query them. Bounded by count and bytes; evicts the oldest first. Not thread-safe.
 */
final class RecentResults {

    private static final int MAXIMUM_ENTRIES = 128;
    private static final long MAXIMUM_BYTES = 256 << 10;

    private final ArrayDeque<ClaimOutcome> order = new ArrayDeque<>();
    private final Map<String, ClaimOutcome> byKey = new HashMap<>();
    private long bytes;

    void add(ClaimOutcome outcome) {
        order.addLast(outcome);
        byKey.put(identity(outcome.getAccount(), outcome.getKey()), outcome);
        bytes += outcome.getBody().size();
        while (order.size() > MAXIMUM_ENTRIES || bytes > MAXIMUM_BYTES) {
            ClaimOutcome oldest = order.removeFirst();
            bytes -= oldest.getBody().size();
            byKey.remove(identity(oldest.getAccount(), oldest.getKey()), oldest);
        }
    }

    Optional<ClaimOutcome> find(String account, String key) {
        return Optional.ofNullable(byKey.get(identity(account, key)));
    }

    private static String identity(String account, String key) {
        return account + '\n' + key;
    }
}
