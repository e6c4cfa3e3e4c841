package org.yuccabank.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.yuccabank.protocol.generated.LogEntry;

/** Proposals and reads that wait for their outcome. Not thread-safe. */
final class PendingProposals {

    private record Proposal(long term, Consumer<ProposalOutcome> receiver) {}

    private final Map<Long, Proposal> proposals = new HashMap<>();
    private final Map<Long, Consumer<ReadOutcome>> reads = new HashMap<>();

    void addProposal(long index, long term, Consumer<ProposalOutcome> receiver) {
        proposals.put(index, new Proposal(term, receiver));
    }

    void addRead(long id, Consumer<ReadOutcome> receiver) {
        reads.put(id, receiver);
    }

    void applied(LogEntry entry, byte[] result) {
        Proposal proposal = proposals.remove(entry.getIndex());
        if (proposal == null) {
            return;
        }
        if (proposal.term() == entry.getTerm()) {
            proposal.receiver().accept(new ProposalOutcome.Committed(entry.getIndex(), result));
        } else {
            proposal.receiver().accept(new ProposalOutcome.Unknown("another leader took over"));
        }
    }

    void confirmed(ConfirmedRead read, long appliedIndex) {
        Consumer<ReadOutcome> receiver = reads.remove(read.id());
        if (receiver != null) {
            receiver.accept(new ReadOutcome.Confirmed(appliedIndex));
        }
    }

    /** Ends everything that waits, when the replica no longer leads. */
    void endAll(String reason, ReadOutcome.NotLeader readOutcome) {
        var endedProposals = new HashMap<>(proposals);
        var endedReads = new HashMap<>(reads);
        proposals.clear();
        reads.clear();
        endedProposals
                .values()
                .forEach(each -> each.receiver().accept(new ProposalOutcome.Unknown(reason)));
        endedReads.values().forEach(each -> each.accept(readOutcome));
    }
}
