package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;
import org.yuccabank.control.workflow.VoterPolicy.Change;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaRole;
import org.yuccabank.replication.ReplicaStatus;

/** Tests the selection of voters. */
public final class VoterPolicyTest {

    private static final List<ReplicaMember> THREE =
            List.of(
                    ReplicaMember.voter("a", "a"),
                    ReplicaMember.voter("b", "b"),
                    ReplicaMember.voter("c", "c"));
    private static final ReplicaMember LEARNER = ReplicaMember.learner("d", "d");
    private static final ReplicaMember FOURTH_VOTER = ReplicaMember.voter("d", "d");
    private static final List<ReplicaMember> FIVE_AND_LEARNER =
            threeAnd(FOURTH_VOTER, ReplicaMember.voter("e", "e"), ReplicaMember.learner("f", "f"));

    private static List<ReplicaMember> threeAnd(ReplicaMember... others) {
        List<ReplicaMember> members = new ArrayList<>(THREE);
        members.addAll(List.of(others));
        return members;
    }

    private static Optional<Change> nextChange(
            int desiredVoters,
            List<ReplicaMember> members,
            Map<String, Long> millisSinceReply,
            String... caughtUpLearners) {
        return nextChange(
                desiredVoters, members, millisSinceReply, Set.of(), Set.of(caughtUpLearners));
    }

    private static Optional<Change> nextChange(
            int desiredVoters,
            List<ReplicaMember> members,
            Map<String, Long> millisSinceReply,
            Set<String> unreachableMembers,
            Set<String> caughtUpLearners) {
        ReplicaStatus status =
                new ReplicaStatus(
                        "a",
                        ReplicaRole.LEADER,
                        1,
                        Optional.of(THREE.get(0)),
                        10,
                        10,
                        10,
                        members,
                        millisSinceReply,
                        unreachableMembers,
                        caughtUpLearners,
                        Optional.empty());
        return new VoterPolicy(desiredVoters).nextChange(status);
    }

    /**
     * Guards against a group that stays at three voters although it has to tolerate the loss of two
     * hosts.
     */
    @Test
    public void shouldNeedMoreVotersThanInitialMembers() {
        Map<String, Long> responsive = Map.of("b", 10L, "c", 10L, "d", 10L);
        assertEquals(
                nextChange(5, threeAnd(LEARNER), responsive, "d"),
                Optional.of(new Change.Promote("d")));
        assertEquals(nextChange(3, threeAnd(LEARNER), responsive, "d"), Optional.empty());
    }

    /** Guards against a lost voter that is still counted when the next host is lost. */
    @Test
    public void shouldReplaceLostVoterAtOnce() {
        Map<String, Long> lost = Map.of("b", 1_501L, "c", 10L, "d", 10L);
        assertEquals(
                nextChange(3, threeAnd(LEARNER), lost, "d"), Optional.of(new Change.Demote("b")));
        List<ReplicaMember> demoted =
                List.of(THREE.get(0), ReplicaMember.learner("b", "b"), THREE.get(2), LEARNER);
        assertEquals(nextChange(3, demoted, lost, "d"), Optional.of(new Change.Promote("d")));
    }

    /** Guards against a group of four voters left by an earlier release. */
    @Test
    public void shouldDemoteSurplusVoter() {
        Map<String, Long> lost = Map.of("b", 2_000L, "c", 10L, "d", 10L);
        assertEquals(
                nextChange(3, threeAnd(FOURTH_VOTER), lost), Optional.of(new Change.Demote("b")));
    }

    /** Guards against demoting a voter whose host only restarts while nothing can replace it. */
    @Test
    public void shouldKeepVoterWithoutSuccessor() {
        Map<String, Long> silent = Map.of("b", 60_000L, "c", 10L, "d", 60_000L);
        assertEquals(nextChange(3, THREE, silent), Optional.empty());
        assertEquals(nextChange(3, threeAnd(LEARNER), silent), Optional.empty());
    }

    /** Guards against changes of the membership at each short pause of a voter. */
    @Test
    public void shouldKeepVoterThatIsBrieflyUnresponsive() {
        Map<String, Long> paused = Map.of("b", 1_500L, "c", 10L, "d", 10L);
        assertEquals(nextChange(3, threeAnd(LEARNER), paused, "d"), Optional.empty());
    }

    /** Guards against a demotion after which the responsive voters are no majority. */
    @Test
    public void shouldKeepSurplusVoterWhileOthersAreNoMajority() {
        Map<String, Long> silent = Map.of("b", 9_000L, "c", 8_000L, "d", 7_000L);
        assertEquals(nextChange(3, threeAnd(FOURTH_VOTER), silent), Optional.empty());
    }

    /** Guards against a demotion that leaves two of four voters which have to answer. */
    @Test
    public void shouldKeepSilentVoterWhileOthersAreNoMajority() {
        Map<String, Long> silent = Map.of("b", 9_000L, "c", 8_000L, "d", 10L);
        assertEquals(nextChange(3, threeAnd(LEARNER), silent, "d"), Optional.empty());
    }

    /**
     * Guards against a demotion that is not committed because another voter has just become silent:
     * the demoted voter could not help to elect a leader, and the next lost disk ended the group.
     */
    @Test
    public void shouldKeepSilentVoterWhileMajorityOfOthersDoesNotAnswerNow() {
        Map<String, Long> silent = Map.of("b", 9_000L, "c", 500L, "d", 10L);
        assertEquals(nextChange(3, threeAnd(LEARNER), silent, "d"), Optional.empty());
        Map<String, Long> answering = Map.of("b", 9_000L, "c", 300L, "d", 10L);
        assertEquals(
                nextChange(3, threeAnd(LEARNER), answering, "d"),
                Optional.of(new Change.Demote("b")));
    }

    /** Guards against a lost disk whose former identifier keeps its vote. */
    @Test
    public void shouldReplaceAndRemoveMemberWhoseDiskIsLost() {
        Map<String, Long> restarted = Map.of("b", 10L, "c", 1_501L, "e", 10L);
        ReplicaMember former = ReplicaMember.learner("c", "c");
        ReplicaMember learner = ReplicaMember.learner("e", "c");
        ReplicaMember voter = ReplicaMember.voter("e", "c");
        assertEquals(
                nextChange(3, threeAnd(learner), restarted, "e"),
                Optional.of(new Change.Demote("c")));
        assertEquals(
                nextChange(3, List.of(THREE.get(0), THREE.get(1), former, learner), restarted, "e"),
                Optional.of(new Change.Promote("e")));
        assertEquals(
                nextChange(3, List.of(THREE.get(0), THREE.get(1), former, voter), restarted),
                Optional.of(new Change.Remove("c")));
    }

    /**
     * Guards against taking the vote of a host that is only cut off while a voter whose disk is
     * known to be lost keeps its vote.
     */
    @Test
    public void shouldReplaceVoterWhoseAddressIsTakenFirst() {
        Map<String, Long> silent = Map.of("b", 1_600L, "c", 601L, "d", 10L, "e", 10L, "f", 10L);
        List<ReplicaMember> members =
                threeAnd(
                        ReplicaMember.voter("d", "d"),
                        ReplicaMember.voter("f", "f"),
                        ReplicaMember.learner("e", "c"));
        assertEquals(nextChange(5, members, silent, "e"), Optional.of(new Change.Demote("c")));
        Map<String, Long> paused = Map.of("b", 10L, "c", 600L, "d", 10L, "e", 10L, "f", 10L);
        assertEquals(nextChange(5, members, paused, "e"), Optional.empty());
    }

    /**
     * Guards against taking the vote of a paused process while a host that is gone for good, whose
     * successor has another address, keeps its vote.
     */
    @Test
    public void shouldReplaceUnreachableVoterBeforePausedOne() {
        Map<String, Long> silent = Map.of("b", 2_000L, "c", 1_600L, "d", 10L, "e", 10L, "f", 10L);
        assertEquals(
                nextChange(5, FIVE_AND_LEARNER, silent, Set.of("c"), Set.of("f")),
                Optional.of(new Change.Demote("c")));
        assertEquals(
                nextChange(5, FIVE_AND_LEARNER, silent, Set.of("b", "c"), Set.of("f")),
                Optional.of(new Change.Demote("b")));
    }

    /** Guards against replacing a voter whose process restarts while another one is paused. */
    @Test
    public void shouldReplacePausedVoterWhileUnreachableOneIsSilentForShorter() {
        Map<String, Long> silent = Map.of("b", 2_000L, "c", 400L, "d", 10L, "e", 10L, "f", 10L);
        assertEquals(
                nextChange(5, FIVE_AND_LEARNER, silent, Set.of("c"), Set.of("f")),
                Optional.of(new Change.Demote("b")));
    }

    /** Guards against removing a live replica after a late request of a former one. */
    @Test
    public void shouldKeepResponsiveMemberWhoseAddressALaterMemberHas() {
        Map<String, Long> responsive = Map.of("b", 10L, "c", 10L, "f", 10L, "e", 60_000L);
        ReplicaMember live = ReplicaMember.learner("f", "f");
        ReplicaMember former = ReplicaMember.learner("e", "f");
        assertEquals(nextChange(3, threeAnd(live, former), responsive, "f"), Optional.empty());
    }
}
