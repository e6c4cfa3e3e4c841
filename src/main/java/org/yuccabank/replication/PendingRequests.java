package org.yuccabank.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.yuccabank.protocol.generated.LogEntry;

/** Callbacks of pending proposals and reads. Not thread-safe. */
final class PendingRequests {

    private record Proposal(long term, Consumer<ProposalOutcome> callback) {}

    private final Map<Long, Proposal> proposals = new HashMap<>();
    private final Map<Long, Consumer<ReadOutcome>> reads = new HashMap<>();

    void addProposal(long index, long term, Consumer<ProposalOutcome> callback) {
        proposals.put(index, new Proposal(term, callback));
    }

    void addRead(long id, Consumer<ReadOutcome> callback) {
        reads.put(id, callback);
    }

    void onApplied(LogEntry entry, byte[] result) {
        Proposal proposal = proposals.remove(entry.getIndex());
        if (proposal == null) {
            return;
        }
        if (proposal.term() == entry.getTerm()) {
            proposal.callback().accept(new ProposalOutcome.Committed(entry.getIndex(), result));
        } else {
            proposal.callback().accept(new ProposalOutcome.Unknown("another leader took over"));
        }
    }

    void onReadConfirmed(ConfirmedRead read, long appliedIndex) {
        Consumer<ReadOutcome> callback = reads.remove(read.id());
        if (callback != null) {
            callback.accept(new ReadOutcome.Confirmed(appliedIndex));
        }
    }

    /** Completes all pending requests when the replica is no longer the leader. */
    void completeAll(String reason, ReadOutcome.NotLeader readOutcome) {
        var endedProposals = new HashMap<>(proposals);
        var endedReads = new HashMap<>(reads);
        proposals.clear();
        reads.clear();
        endedProposals
                .values()
                .forEach(each -> each.callback().accept(new ProposalOutcome.Unknown(reason)));
        endedReads.values().forEach(each -> each.accept(readOutcome));
    }
}
