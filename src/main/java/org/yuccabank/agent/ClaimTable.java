package org.yuccabank.agent;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.OutcomeKind;

/**
 * The at-most-once requests that this incarnation received, by key, with their outcomes.
 *
 * <p>Invariants: a token is dispatched at most once; a key is dispatched again only under a greater
 * token and only if its previous claim was refused. A key is evicted only after control has
 * acknowledged its outcome and {@link #RETENTION_MILLIS} have passed; its token is then at most
 * {@link #watermark}, and an unknown key with such a token is never dispatched and never reported
 * as not run. Memory is bounded by {@link #MAXIMUM_ENTRIES} and {@link #MAXIMUM_BYTES}. Not
 * thread-safe.
 */
final class ClaimTable {

    /** Retention time of a key, counted from the end of its request. */
    static final long RETENTION_MILLIS = 60_000;

    /** Maximum number of retained keys. */
    static final int MAXIMUM_ENTRIES = 2_048;

    /** Maximum total size of the bodies that are retained for control and for late queries. */
    static final long MAXIMUM_BYTES = 1 << 20;

    private static final long RESEND_INTERVAL_MILLIS = 2_000;

    /** The result of checking a claim, which decides whether its request may be admitted. */
    enum Verdict {
        /** The claim is new: the request may be admitted. */
        NEW,
        /** The claim was received before, or may have been: the request must not run. */
        POSSIBLE_DUPLICATE
    }

    private static final class Entry {
        private ClaimOutcome outcome;
        private boolean acknowledged;
        private long endedAtMillis;
        private long sentAtMillis = Long.MIN_VALUE / 2;
        private long firstReportSequence;

        private Entry(ClaimOutcome outcome) {
            this.outcome = outcome;
        }

        private boolean isInProgress() {
            return outcome.getOutcome() == OutcomeKind.IN_PROGRESS;
        }
    }

    private final AgentOptions options;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long watermark;
    private long bytes;

    private ClaimTable(AgentOptions options) {
        this.options = options;
    }

    static ClaimTable of(AgentOptions options) {
        return new ClaimTable(options);
    }

    /** Returns whether a request is new and may be admitted. */
    Verdict check(String account, String key, long token) {
        if (!options.rememberKeys()) {
            return Verdict.NEW;
        }
        Entry entry = entries.get(identity(account, key));
        if (entry == null) {
            return token <= watermark ? Verdict.POSSIBLE_DUPLICATE : Verdict.NEW;
        }
        boolean refusedBefore = entry.outcome.getOutcome() == OutcomeKind.NOT_RUN;
        boolean newer = token > entry.outcome.getFencingToken();
        return refusedBefore && newer ? Verdict.NEW : Verdict.POSSIBLE_DUPLICATE;
    }

    /** Returns whether another key can be retained. */
    boolean hasCapacity() {
        return entries.size() < MAXIMUM_ENTRIES && bytes < MAXIMUM_BYTES;
    }

    /** Records that a request was admitted and is in progress. */
    void begin(String account, String key, long token) {
        put(outcome(account, key, token, OutcomeKind.IN_PROGRESS).build(), 0);
    }

    /** Records that a request was refused before its dispatch. */
    void refuse(String account, String key, long token, long nowMillis) {
        if (!options.recordRefusals()) {
            entries.remove(identity(account, key));
            return;
        }
        if (!hasCapacity() && !entries.containsKey(identity(account, key))) {
            // The table is full: raising the watermark refuses the token without retaining the key.
            watermark = Math.max(watermark, token);
            return;
        }
        put(outcome(account, key, token, OutcomeKind.NOT_RUN).build(), nowMillis);
    }

    /** Records how a request ended. */
    void end(ClaimOutcome outcome, long nowMillis) {
        put(outcome, nowMillis);
    }

    private void put(ClaimOutcome outcome, long nowMillis) {
        Entry entry = new Entry(outcome);
        entry.endedAtMillis = nowMillis;
        Entry previous = entries.put(identity(outcome.getAccount(), outcome.getKey()), entry);
        bytes += outcome.getBody().size();
        if (previous != null) {
            bytes -= previous.outcome.getBody().size();
        }
    }

    static ClaimOutcome.Builder outcome(String account, String key, long token, OutcomeKind kind) {
        return ClaimOutcome.newBuilder()
                .setAccount(account)
                .setKey(key)
                .setFencingToken(token)
                .setOutcome(kind);
    }

    /** Returns the recorded outcome of a key. */
    Optional<ClaimOutcome> find(String account, String key) {
        return Optional.ofNullable(entries.get(identity(account, key))).map(entry -> entry.outcome);
    }

    /**
     * Returns the unacknowledged outcomes that are due to be sent, and marks them as sent.
     *
     * @param sequence sequence of the report that will contain them
     * @param byteLimit size after which no further outcome is added
     */
    List<ClaimOutcome> takeDue(long sequence, long nowMillis, long byteLimit) {
        List<ClaimOutcome> result = new ArrayList<>();
        long size = 0;
        for (Entry entry : entries.values()) {
            boolean due = nowMillis - entry.sentAtMillis >= RESEND_INTERVAL_MILLIS;
            if (!entry.isInProgress() && !entry.acknowledged && due && size < byteLimit) {
                entry.sentAtMillis = nowMillis;
                entry.firstReportSequence =
                        entry.firstReportSequence == 0 ? sequence : entry.firstReportSequence;
                size += entry.outcome.getSerializedSize();
                result.add(entry.outcome);
            }
        }
        return result;
    }

    /**
     * Records the acknowledgement of a claim by control.
     *
     * @param sequence sequence of the report that control answered; an outcome that was not in this
     *     report or an earlier one is not acknowledged
     */
    void acknowledge(long token, long sequence) {
        for (Entry entry : entries.values()) {
            boolean same = entry.outcome.getFencingToken() == token;
            boolean sent = entry.firstReportSequence != 0 && entry.firstReportSequence <= sequence;
            if (same && !entry.isInProgress() && sent) {
                entry.acknowledged = true;
            }
        }
    }

    /** Evicts acknowledged keys whose retention time is over. */
    void evict(long nowMillis) {
        Iterator<Entry> iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            if (entry.acknowledged && nowMillis - entry.endedAtMillis >= RETENTION_MILLIS) {
                watermark = Math.max(watermark, entry.outcome.getFencingToken());
                bytes -= entry.outcome.getBody().size();
                iterator.remove();
            }
        }
    }

    /** Returns whether control has acknowledged every outcome. */
    boolean isSettled() {
        for (Entry entry : entries.values()) {
            if (!entry.acknowledged) {
                return false;
            }
        }
        return true;
    }

    int size() {
        return entries.size();
    }

    private static String identity(String account, String key) {
        return account + '\n' + key;
    }
}
