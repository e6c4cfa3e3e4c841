package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccabank.replication.ReplicaMember;

/** Tests the selection of voters. */
public final class VoterPolicyTest {

    private static final List<ReplicaMember> THREE =
            List.of(
                    ReplicaMember.voter("a", "a"),
                    ReplicaMember.voter("b", "b"),
                    ReplicaMember.voter("c", "c"));

    /**
     * Guards against a group that stays at three voters although it has to tolerate the loss of two
     * hosts.
     */
    @Test
    public void shouldNeedMoreVotersThanInitialMembers() {
        Map<String, Long> responsive = Map.of("b", 10L, "c", 10L);
        assertTrue(new VoterPolicy(5).needsVoter(THREE, responsive));
        assertFalse(new VoterPolicy(3).needsVoter(THREE, responsive));
    }

    /** Guards against losing the majority when hosts are lost one after the other. */
    @Test
    public void shouldReplaceLostVoterOnceOthersVote() {
        VoterPolicy policy = new VoterPolicy(3);
        Map<String, Long> lost = Map.of("b", 60_000L, "c", 10L, "d", 10L);
        assertTrue(policy.needsVoter(THREE, lost));
        assertEquals(policy.findLostVoter(THREE, lost), Optional.empty(), "d is not a voter yet");
        List<ReplicaMember> four =
                List.of(THREE.get(0), THREE.get(1), THREE.get(2), ReplicaMember.voter("d", "d"));
        assertEquals(policy.findLostVoter(four, lost), Optional.of("b"));
    }

    /** Guards against demoting a voter whose host only restarts. */
    @Test
    public void shouldKeepVoterThatIsBrieflyUnresponsive() {
        List<ReplicaMember> four =
                List.of(THREE.get(0), THREE.get(1), THREE.get(2), ReplicaMember.voter("d", "d"));
        Map<String, Long> restarting = Map.of("b", 6_000L, "c", 10L, "d", 10L);
        assertEquals(new VoterPolicy(3).findLostVoter(four, restarting), Optional.empty());
    }
}
