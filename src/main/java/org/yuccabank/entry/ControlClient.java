package org.yuccabank.entry;

import java.time.Duration;
import org.yuccabank.protocol.LeaderClient;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.DirectoryRequest;
import org.yuccabank.protocol.generated.Envelope;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Client of the control group that polls the directory and sends commands. Confined to the decision
 * thread, except for {@link #hasReceivedDirectory} and {@link #sendCommand}.
 */
final class ControlClient {

    private static final Duration POLL_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(5);

    private final EntryConfiguration configuration;
    private final LeaderClient leaderClient;
    private final EntryDirectory directory;
    private final Scheduler decisionScheduler;
    private boolean pollInProgress;
    private volatile boolean directoryReceived;
    private final ConfigurationLease lease;

    ControlClient(
            EntryConfiguration configuration,
            LeaderClient leaderClient,
            EntryDirectory directory,
            Scheduler decisionScheduler) {
        this.configuration = configuration;
        this.leaderClient = leaderClient;
        this.directory = directory;
        this.decisionScheduler = decisionScheduler;
        lease = new ConfigurationLease(configuration.configurationLeaseMillis());
    }

    /**
     * Requests the directory from the leader unless a request is already in progress.
     *
     * @param now the current time
     */
    void pollDirectory(ConfigurationLease.Moment now) {
        if (pollInProgress) {
            return;
        }
        pollInProgress = true;
        DirectoryRequest request =
                DirectoryRequest.newBuilder()
                        .setProcessId(configuration.processId())
                        .setDataCentre(configuration.dataCentre())
                        .setKnownRevision(directory.revision())
                        .setKnownConfiguration(directory.configurationVersion())
                        .build();
        leaderClient
                .request(Envelope.newBuilder().setDirectoryRequest(request).build(), POLL_TIMEOUT)
                .publishOn(decisionScheduler)
                .doFinally(signal -> decisionScheduler.schedule(() -> pollInProgress = false))
                .subscribe(reply -> applyDirectory(reply, now), error -> {});
    }

    private void applyDirectory(Envelope reply, ConfigurationLease.Moment requested) {
        if (reply.hasDirectory()) {
            directory.update(reply.getDirectory(), requested.wallMillis());
            directoryReceived = true;
            lease.start(requested);
        }
    }

    /**
     * Returns whether the configuration lease is valid, so that the local rules are current.
     *
     * @param now the current time
     * @return true until the lease expires
     */
    boolean hasConfigurationLease(ConfigurationLease.Moment now) {
        return lease.isValid(now);
    }

    /**
     * Returns whether control has sent a directory since the start of this process.
     *
     * @return false until the first directory is received
     */
    boolean hasReceivedDirectory() {
        return directoryReceived;
    }

    /**
     * Sends a command or query to the leader.
     *
     * @param request the command or query
     * @return the result, or an error with a {@link org.yuccabank.protocol.PeerException}
     */
    Mono<CommandResult> sendCommand(CommandRequest request) {
        return leaderClient
                .request(Envelope.newBuilder().setCommandRequest(request).build(), COMMAND_TIMEOUT)
                .map(ControlClient::toResult);
    }

    private static CommandResult toResult(Envelope reply) {
        if (reply.hasCommandResult()) {
            return reply.getCommandResult();
        }
        return CommandResult.newBuilder()
                .setVerdict(Verdict.UNAVAILABLE)
                .setMessage(reply.getProtocolError().getMessage())
                .build();
    }
}
