package org.yuccabank.replication;

/** What a leader knows about another replica. Not thread-safe. */
final class Progress {

    /** How entries are sent. */
    enum Mode {
        /** The position where both logs are equal is being searched. */
        PROBE,
        /** Entries are sent without waiting for the replies to earlier ones. */
        REPLICATE,
        /** The replica needs entries that a snapshot replaced. */
        SNAPSHOT
    }

    private final String replicaId;
    private Mode mode = Mode.REPLICATE;
    private long nextIndex;
    private long matchIndex;
    private long acknowledgedRound;
    private long lastReplyMillis;
    private SnapshotData snapshot;
    private long snapshotOffset;
    private long chunkSentMillis;

    Progress(String replicaId, long nextIndex, long nowMillis) {
        this.replicaId = replicaId;
        this.nextIndex = nextIndex;
        lastReplyMillis = nowMillis;
    }

    String replicaId() {
        return replicaId;
    }

    Mode mode() {
        return mode;
    }

    long nextIndex() {
        return nextIndex;
    }

    long matchIndex() {
        return matchIndex;
    }

    long acknowledgedRound() {
        return acknowledgedRound;
    }

    long lastReplyMillis() {
        return lastReplyMillis;
    }

    void recordReply(long nowMillis) {
        lastReplyMillis = nowMillis;
    }

    void acknowledgeRound(long round) {
        acknowledgedRound = Math.max(acknowledgedRound, round);
    }

    void onEntriesSent(int entries) {
        nextIndex += entries;
    }

    /** Records that the replica stores the log up to a position. */
    void onMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        if (mode == Mode.PROBE) {
            mode = Mode.REPLICATE;
            nextIndex = matchIndex + 1;
        }
    }

    /** Records that the logs differ before the next position. */
    void onConflict(long conflictIndex) {
        mode = Mode.PROBE;
        nextIndex = Math.max(matchIndex + 1, Math.min(conflictIndex, nextIndex));
    }

    void startSnapshot(SnapshotData data) {
        mode = Mode.SNAPSHOT;
        snapshot = data;
        snapshotOffset = 0;
    }

    SnapshotData snapshot() {
        return snapshot;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    long chunkSentMillis() {
        return chunkSentMillis;
    }

    void recordChunkSent(long nowMillis) {
        chunkSentMillis = nowMillis;
    }

    void continueSnapshot(long offset) {
        snapshotOffset = offset;
    }

    /** Ends the transfer; the replica stores everything up to the snapshot. */
    void finishSnapshot() {
        long index = snapshot.lastIndex();
        snapshot = null;
        mode = Mode.PROBE;
        onMatch(index);
    }
}
