package org.yuccabank.local.scale;

/**
 * Measurements for one number of agents. Immutable.
 *
 * @param agents number of agents
 * @param tasks tasks that hold a lease
 * @param leaderCorePercent processor time of the leader, in percent of one core
 * @param followerCorePercent processor time of the busiest follower, in percent of one core
 * @param bytesPerAgentSecond bytes of reports and responses per agent and second, without framing
 * @param inForceMillis time from the acceptance of a rules version until all agents have received
 *     it
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
