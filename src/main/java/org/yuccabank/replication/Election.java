package org.yuccabank.replication;

import java.util.HashSet;
import java.util.Set;
import org.yuccabank.protocol.generated.ReplicaMessage;
import org.yuccabank.protocol.generated.VoteReply;
import org.yuccabank.protocol.generated.VoteRequest;

/**
 * Leader election, as a candidate and as a voter. At most one candidate wins a term, because a
 * replica votes at most once per term and syncs its vote before it sends it. Not thread-safe.
 */
final class Election {

    private final CoreState state;
    private final Set<String> votes = new HashSet<>();
    private long ownVoteSequence;

    Election(CoreState state) {
        this.state = state;
    }

    /** Starts an election if the election timeout has expired. */
    void tick() {
        if (!state.canCampaign() || !state.isElectionDue()) {
            return;
        }
        if (state.isEnabled(Mechanism.PRE_VOTE)) {
            startPreVote();
        } else {
            start(false);
        }
    }

    private void startPreVote() {
        state.setRole(ReplicaRole.PRE_CANDIDATE);
        state.setLeaderId("");
        state.resetElectionDeadline();
        votes.clear();
        votes.add(state.id());
        if (state.membership().isMajority(votes)) {
            start(false);
        } else {
            requestVotes(true, false);
        }
    }

    /**
     * Increments the term and requests votes.
     *
     * @param transfer true if the leader transfers its leadership, so that voters ignore its lease
     */
    void start(boolean transfer) {
        state.enterTerm(state.term() + 1, state.id());
        state.recordElection();
        state.setRole(ReplicaRole.CANDIDATE);
        state.setLeaderId("");
        state.resetElectionDeadline();
        votes.clear();
        ownVoteSequence = state.outbox().newestSequence();
        requestVotes(false, transfer);
    }

    private void requestVotes(boolean preVote, boolean transfer) {
        VoteRequest request =
                VoteRequest.newBuilder()
                        .setPreVote(preVote)
                        .setTransfer(transfer)
                        .setLastIndex(state.log().lastIndex())
                        .setLastTerm(state.log().lastTerm())
                        .build();
        long term = preVote ? state.term() + 1 : state.term();
        for (String voter : state.membership().voters()) {
            if (!voter.equals(state.id())) {
                ReplicaMessage message =
                        state.messageTo(voter).setTerm(term).setVoteRequest(request).build();
                state.outbox().sendAfterSync(message);
            }
        }
    }

    /** Returns whether this candidate has a majority; its own vote counts once it is synced. */
    boolean isWon() {
        if (state.role() != ReplicaRole.CANDIDATE) {
            return false;
        }
        if (state.outbox().isSynced(ownVoteSequence)) {
            votes.add(state.id());
        }
        return state.membership().isMajority(votes);
    }

    /** Returns whether a vote request must be refused because a leader may hold a lease. */
    boolean mustProtectLeader(VoteRequest request) {
        if (request.getTransfer() || !state.isEnabled(Mechanism.LEADER_STICKINESS)) {
            return false;
        }
        return state.role() == ReplicaRole.LEADER || state.heardFromLeaderRecently();
    }

    /** Replies to a vote request; the caller has entered the term of the request if it is newer. */
    void onRequest(ReplicaMessage message, boolean refused) {
        VoteRequest request = message.getVoteRequest();
        boolean granted =
                !refused && isLogUpToDate(request) && canGrantVote(message, request.getPreVote());
        if (granted && !request.getPreVote()) {
            state.enterTerm(state.term(), message.getFrom());
            state.resetElectionDeadline();
        }
        VoteReply reply =
                VoteReply.newBuilder().setPreVote(request.getPreVote()).setGranted(granted).build();
        long term = granted ? message.getTerm() : state.term();
        state.outbox()
                .sendAfterSync(
                        state.messageTo(message.getFrom())
                                .setTerm(term)
                                .setVoteReply(reply)
                                .build());
    }

    private boolean canGrantVote(ReplicaMessage message, boolean preVote) {
        if (preVote) {
            return message.getTerm() > state.term();
        }
        if (message.getTerm() != state.term() || state.role() == ReplicaRole.LEADER) {
            return false;
        }
        return state.votedFor().isEmpty()
                || state.votedFor().equals(message.getFrom())
                || !state.isEnabled(Mechanism.SINGLE_VOTE);
    }

    private boolean isLogUpToDate(VoteRequest request) {
        if (!state.isEnabled(Mechanism.LOG_COMPLETENESS)) {
            return true;
        }
        long lastTerm = state.log().lastTerm();
        return request.getLastTerm() > lastTerm
                || (request.getLastTerm() == lastTerm
                        && request.getLastIndex() >= state.log().lastIndex());
    }

    /** Counts a granted vote or pre-vote. A majority of pre-votes starts the election. */
    void onReply(ReplicaMessage message) {
        VoteReply reply = message.getVoteReply();
        if (!reply.getGranted()) {
            return;
        }
        if (reply.getPreVote()) {
            countPreVote(message);
        } else if (state.role() == ReplicaRole.CANDIDATE && message.getTerm() == state.term()) {
            votes.add(message.getFrom());
        }
    }

    private void countPreVote(ReplicaMessage message) {
        if (state.role() != ReplicaRole.PRE_CANDIDATE || message.getTerm() != state.term() + 1) {
            return;
        }
        votes.add(message.getFrom());
        if (state.membership().isMajority(votes)) {
            start(false);
        }
    }
}
