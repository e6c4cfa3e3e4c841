package org.yuccabank.replication;

/** Replication progress of another replica as tracked by the leader. Not thread-safe. */
final class Progress {

    /** Replication mode. */
    enum Mode {
        /** The leader searches for the last index at which both logs agree. */
        PROBE,
        /** Entries are sent without waiting for replies to earlier ones. */
        REPLICATE,
        /** The replica needs entries that were compacted, and receives a snapshot. */
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

    /** Records that the replica stores the log up to an index. */
    void onMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        if (mode == Mode.PROBE) {
            mode = Mode.REPLICATE;
            nextIndex = matchIndex + 1;
        }
    }

    /** Records that the logs differ before the next index, and starts probing. */
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

    /** Completes the transfer; the replica stores all entries included in the snapshot. */
    void finishSnapshot() {
        long index = snapshot.lastIndex();
        snapshot = null;
        mode = Mode.PROBE;
        onMatch(index);
    }
}
