package org.yuccabank.local.scale;

/**
 * One measured size. Immutable.
 *
 * @param agents number of agents
 * @param tasks tasks that hold a lease
 * @param leaderCorePercent processor time of the leader in percent of one core
 * @param followerCorePercent processor time of a follower in percent of one core
 * @param bytesPerAgentSecond bytes of reports and answers for one agent in one second, without
 *     framing
 * @param inForceMillis time from the acceptance of a rules version until the last agent has it
 * @param snapshotBytes size of the replicated state
 */
public record ScalePoint(
        int agents,
        int tasks,
        double leaderCorePercent,
        double followerCorePercent,
        double bytesPerAgentSecond,
        double inForceMillis,
        long snapshotBytes) {}
