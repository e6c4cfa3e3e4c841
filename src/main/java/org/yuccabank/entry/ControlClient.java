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
    private long leaseStartMillis;

    ControlClient(
            EntryConfiguration configuration,
            LeaderClient leaderClient,
            EntryDirectory directory,
            Scheduler decisionScheduler) {
        this.configuration = configuration;
        this.leaderClient = leaderClient;
        this.directory = directory;
        this.decisionScheduler = decisionScheduler;
    }

    /**
     * Requests the directory from the leader unless a request is already in progress.
     *
     * @param nowMillis current time in milliseconds
     */
    void pollDirectory(long nowMillis) {
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
                .subscribe(reply -> applyDirectory(reply, nowMillis), error -> {});
    }

    /** Starts the lease at the time of the request because the response may have been delayed. */
    private void applyDirectory(Envelope reply, long requestedMillis) {
        if (reply.hasDirectory()) {
            directory.update(reply.getDirectory(), requestedMillis);
            directoryReceived = true;
            leaseStartMillis = requestedMillis;
        }
    }

    /**
     * Returns whether the configuration lease is valid, so that the local rules are current.
     *
     * @param nowMillis current time in milliseconds
     * @return true until the lease expires
     */
    boolean hasConfigurationLease(long nowMillis) {
        return directoryReceived
                && nowMillis - leaseStartMillis <= configuration.configurationLeaseMillis();
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
