package org.yuccabank.replication;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.yuccabank.protocol.generated.AppendReply;
import org.yuccabank.protocol.generated.AppendRequest;
import org.yuccabank.protocol.generated.LogEntry;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.protocol.generated.SnapshotChunk;
import org.yuccabank.protocol.generated.SnapshotReply;

/**
 * Receives log entries and snapshots from the leader. Committed entries are never removed, and
 * entries are acknowledged only after they are synced. Not thread-safe.
 */
final class LogFollower {

    private final CoreState state;
    private SnapshotChunk incomingHeader = SnapshotChunk.getDefaultInstance();
    private ByteString incomingData = ByteString.EMPTY;
    private SnapshotData pendingRestore;
    private long restoreSequence;

    LogFollower(CoreState state) {
        this.state = state;
    }

    /** Appends entries from the current leader. */
    void onAppend(ReplicaMessage message) {
        AppendRequest request = message.getAppendRequest();
        AppendReply.Builder reply = AppendReply.newBuilder().setRound(request.getRound());
        Optional<Long> conflict = findConflict(request);
        if (conflict.isPresent()) {
            reply.setConflictIndex(conflict.get());
        } else {
            request.getEntriesList().forEach(this::storeEntry);
            long matchIndex = request.getPreviousIndex() + request.getEntriesCount();
            state.setCommitIndex(Math.min(request.getCommitIndex(), matchIndex));
            reply.setSuccess(true).setMatchIndex(matchIndex);
        }
        state.outbox()
                .sendAfterSync(state.messageTo(message.getFrom()).setAppendReply(reply).build());
    }

    /** Returns the index from which the logs may differ, or empty if the previous entry matches. */
    private Optional<Long> findConflict(AppendRequest request) {
        InMemoryLog log = state.log();
        long previous = request.getPreviousIndex();
        if (previous <= log.baseIndex()) {
            // Entries up to the base index are committed and therefore match the leader's.
            return Optional.empty();
        }
        if (previous > log.lastIndex()) {
            return Optional.of(log.lastIndex() + 1);
        }
        if (log.termAt(previous) == request.getPreviousTerm()
                || !state.isEnabled(Mechanism.PREVIOUS_ENTRY_CHECK)) {
            return Optional.empty();
        }
        return Optional.of(Math.max(log.firstIndexOfTerm(previous), state.commitIndex() + 1));
    }

    private void storeEntry(LogEntry entry) {
        InMemoryLog log = state.log();
        if (entry.getIndex() <= log.baseIndex()) {
            return;
        }
        if (entry.getIndex() <= log.lastIndex()) {
            if (log.termAt(entry.getIndex()) == entry.getTerm()) {
                return;
            }
            if (entry.getIndex() <= state.commitIndex()) {
                throw new IllegalStateException(
                        "entry " + entry.getIndex() + " contradicts a committed entry");
            }
            state.truncateFrom(entry.getIndex());
        }
        state.append(entry);
    }

    /** Receives a chunk of a snapshot and installs the snapshot once it is complete. */
    void onChunk(ReplicaMessage message) {
        SnapshotChunk chunk = message.getSnapshotChunk();
        SnapshotReply.Builder reply = SnapshotReply.newBuilder().setLastIndex(chunk.getLastIndex());
        if (chunk.getLastIndex() <= state.commitIndex()) {
            reply.setInstalled(true);
        } else if (appendChunk(chunk)) {
            install();
            reply.setInstalled(true);
        } else {
            reply.setNextOffset(isIncoming(chunk) ? incomingData.size() : 0);
        }
        state.outbox()
                .sendAfterSync(state.messageTo(message.getFrom()).setSnapshotReply(reply).build());
    }

    private boolean isIncoming(SnapshotChunk chunk) {
        return incomingHeader.getLastIndex() == chunk.getLastIndex()
                && incomingHeader.getLastTerm() == chunk.getLastTerm();
    }

    private boolean appendChunk(SnapshotChunk chunk) {
        if (chunk.getOffset() == 0) {
            incomingHeader = chunk.toBuilder().clearData().build();
            incomingData = chunk.getData();
            return chunk.getLast();
        }
        if (!isIncoming(chunk) || chunk.getOffset() != incomingData.size()) {
            return false;
        }
        incomingData = incomingData.concat(chunk.getData());
        return chunk.getLast();
    }

    private void install() {
        SnapshotData data =
                new SnapshotData(
                        incomingHeader.getLastIndex(),
                        incomingHeader.getLastTerm(),
                        incomingHeader.getMembership(),
                        incomingData);
        incomingHeader = SnapshotChunk.getDefaultInstance();
        incomingData = ByteString.EMPTY;
        if (state.log().termAt(data.lastIndex()) != data.lastTerm()) {
            state.log().reset(data.lastIndex(), data.lastTerm());
            state.membership().reset(data.lastIndex(), data.membership());
            state.setSnapshot(data);
            state.outbox().installSnapshot(data);
            state.becomeFollower(state.leaderId());
            pendingRestore = data;
            restoreSequence = state.outbox().newestSequence();
        }
        state.setCommitIndex(data.lastIndex());
    }

    boolean isRestorePending() {
        return pendingRestore != null;
    }

    /** Removes and returns an installed snapshot once it is synced. */
    Optional<SnapshotData> takeRestore() {
        if (pendingRestore == null || !state.outbox().isSynced(restoreSequence)) {
            return Optional.empty();
        }
        SnapshotData data = pendingRestore;
        pendingRestore = null;
        return Optional.of(data);
    }
}
