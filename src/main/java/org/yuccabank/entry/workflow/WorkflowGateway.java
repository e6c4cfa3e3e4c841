package org.yuccabank.entry.workflow;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.event.RequestLines;
import org.yuccabank.policy.workflow.OutageBackoff;
import org.yuccabank.protocol.LeaderClient;
import org.yuccabank.protocol.PeerAddress;
import org.yuccabank.protocol.PeerException;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.ConfigurationQuery;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.Role;
import org.yuccabank.protocol.generated.WorkflowReply;
import org.yuccabank.protocol.generated.WorkflowReply.Verdict;
import org.yuccabank.protocol.generated.WorkflowRequest;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/**
 * Forwards workflow requests to the leader and reports their outcome.
 *
 * <p>Invariant: a request is reported as refused only if none of its attempts can have reached a
 * leader. Requests are idempotent by workflow identifier or configuration version, so an attempt
 * without a response is retried until the deadline. Thread-safe.
 */
public final class WorkflowGateway {

    /** Timeout of one attempt; a healthy leader responds within tens of milliseconds. */
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(500);

    /** Time to find a leader while the gateway is not ready; the request is refused afterwards. */
    private static final Duration NOT_READY_TIMEOUT = Duration.ofMillis(300);

    /**
     * Time after which a submission that has reached no leader is refused. It covers an election.
     * During a longer outage a caller is served better by retrying later than by waiting.
     */
    private static final Duration SUBMISSION_TIMEOUT = Duration.ofMillis(1_200);

    /** The gateway is ready if a leader has responded within this time. */
    private static final long READINESS_WINDOW_MILLIS = 2_500;

    private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(1_000);

    private final PeerTransport transport;
    private final LeaderClient leaderClient;
    private final long startMillis = monotonicMillis();
    private volatile long lastReplyMillis = Long.MIN_VALUE / 2;
    private volatile Disposable probes = Disposables.disposed();

    private WorkflowGateway(PeerTransport transport, List<InetSocketAddress> controlAddresses) {
        this.transport = transport;
        leaderClient = LeaderClient.of(transport, controlAddresses, PeerHandler.none());
    }

    /**
     * Creates and starts a gateway.
     *
     * @param processId identifier of the process
     * @param dataCentre data centre of the process
     * @param controlAddresses addresses of control processes, at least one
     * @param eventLoops network threads, which the caller shuts down
     * @return the gateway
     */
    public static WorkflowGateway start(
            String processId,
            String dataCentre,
            List<InetSocketAddress> controlAddresses,
            EventLoopGroup eventLoops) {
        Hello hello =
                Hello.newBuilder()
                        .setProcessId(processId)
                        .setRole(Role.ENTRY)
                        .setDataCentre(dataCentre)
                        .setIncarnation(System.currentTimeMillis())
                        .build();
        PeerTransport transport = PeerTransport.startOn(hello, eventLoops);
        WorkflowGateway gateway = new WorkflowGateway(transport, controlAddresses);
        gateway.startProbes();
        return gateway;
    }

    /**
     * Replaces the configured addresses of control processes.
     *
     * @param addresses addresses of control processes, at least one
     */
    public void replaceControlAddresses(List<InetSocketAddress> addresses) {
        leaderClient.updateConfiguredAddresses(addresses);
    }

    /** Stops the probes and closes all connections. */
    public void stop() {
        probes.dispose();
        leaderClient.stop();
        transport.stop();
    }

    /** Queries the leader periodically so that readiness is current without traffic. */
    private void startProbes() {
        WorkflowRequest request =
                WorkflowRequest.newBuilder()
                        .setConfiguration(ConfigurationQuery.newBuilder().setWithoutDocument(true))
                        .build();
        probes =
                Mono.defer(() -> sendWithin(request, PROBE_TIMEOUT, PROBE_TIMEOUT))
                        .delaySubscription(PROBE_INTERVAL)
                        .repeat()
                        .subscribe(
                                reply -> {},
                                error ->
                                        EventLog.warning(
                                                Event.CONNECTION_CLOSED,
                                                "peer",
                                                "leader",
                                                "problem",
                                                error.getMessage()));
    }

    /**
     * Returns whether requests can be served.
     *
     * @return true if a leader has responded within the readiness window
     */
    public boolean isReady() {
        return monotonicMillis() - lastReplyMillis < READINESS_WINDOW_MILLIS;
    }

    /**
     * Returns the address of the leader.
     *
     * @return the address, or empty if the gateway is not ready
     */
    public Optional<String> leaderAddress() {
        return isReady()
                ? Optional.of(PeerAddress.format(leaderClient.presumedLeader()))
                : Optional.empty();
    }

    private static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Sends a request to the leader and retries attempts without a response until the timeout.
     *
     * @param request the request
     * @param timeout time within which the caller needs the reply
     * @return the leader's reply; {@link Verdict#REFUSED} if the request was definitely not
     *     accepted, {@link Verdict#UNCERTAIN} if it may have been accepted
     */
    public Mono<WorkflowReply> send(WorkflowRequest request, Duration timeout) {
        return sendWithin(request, timeout, unsentTimeout(request));
    }

    private Mono<WorkflowReply> sendWithin(
            WorkflowRequest request, Duration timeout, Duration unsentTimeout) {
        long nowMillis = monotonicMillis();
        long unsentMillis = Math.min(timeout.toMillis(), unsentTimeout.toMillis());
        AttemptDeadlines deadlines =
                new AttemptDeadlines(nowMillis + timeout.toMillis(), nowMillis + unsentMillis);
        return attempt(request, deadlines, false);
    }

    /** Returns the time after which a request that has reached no leader is refused. */
    private Duration unsentTimeout(WorkflowRequest request) {
        if (!isReady()) {
            return NOT_READY_TIMEOUT;
        }
        return request.hasSubmit()
                ? SUBMISSION_TIMEOUT
                : Duration.ofMillis(READINESS_WINDOW_MILLIS);
    }

    /**
     * Deadlines of a request on the monotonic clock.
     *
     * @param deadlineMillis deadline of all attempts
     * @param unsentDeadlineMillis deadline while no attempt can have reached a leader
     */
    private record AttemptDeadlines(long deadlineMillis, long unsentDeadlineMillis) {

        long remainingMillis(boolean inDoubt, long nowMillis) {
            return (inDoubt ? deadlineMillis : unsentDeadlineMillis) - nowMillis;
        }
    }

    private Mono<WorkflowReply> attempt(
            WorkflowRequest request, AttemptDeadlines deadlines, boolean inDoubt) {
        long remainingMillis = deadlines.remainingMillis(inDoubt, monotonicMillis());
        if (remainingMillis <= 0) {
            return Mono.just(failedReply(request, inDoubt, "no leader answered in time"));
        }
        Duration timeout = Duration.ofMillis(Math.min(remainingMillis, ATTEMPT_TIMEOUT.toMillis()));
        Envelope message = Envelope.newBuilder().setWorkflowRequest(request).build();
        return leaderClient
                .request(message, timeout)
                .flatMap(envelope -> onReply(envelope, request, deadlines, inDoubt))
                .onErrorResume(
                        PeerException.class,
                        error ->
                                error.isInDoubt()
                                        ? attempt(request, deadlines, true)
                                        : attempt(request, deadlines, inDoubt));
    }

    private Mono<WorkflowReply> onReply(
            Envelope envelope,
            WorkflowRequest request,
            AttemptDeadlines deadlines,
            boolean inDoubt) {
        if (!envelope.hasWorkflowReply()) {
            return Mono.just(failedReply(request, true, envelope.getProtocolError().getMessage()));
        }
        lastReplyMillis = monotonicMillis();
        WorkflowReply reply = envelope.getWorkflowReply();
        if (reply.getControlAddressesCount() > 0) {
            leaderClient.updateMembers(reply.getControlAddressesList());
        }
        if (reply.getVerdict() == Verdict.UNCERTAIN) {
            return attempt(request, deadlines, true);
        }
        boolean mayHaveBeenAccepted = inDoubt && deniesAcceptance(request, reply);
        return Mono.just(
                mayHaveBeenAccepted ? failedReply(request, true, reply.getMessage()) : reply);
    }

    /**
     * Returns whether a reply says that a request was not accepted, although an earlier attempt may
     * have been: the queue of a workflow may have been removed since then.
     */
    private static boolean deniesAcceptance(WorkflowRequest request, WorkflowReply reply) {
        return reply.getVerdict() == Verdict.REFUSED
                || (request.hasSubmit() && reply.getVerdict() == Verdict.UNKNOWN_QUEUE);
    }

    private WorkflowReply failedReply(WorkflowRequest request, boolean inDoubt, String reason) {
        // Before the first reply, the outage is measured from the start of this process.
        long outageStartMillis = Math.max(lastReplyMillis, startMillis);
        long outageMillis = Math.max(0, monotonicMillis() - outageStartMillis);
        long retryAfterMillis =
                OutageBackoff.retryAfterMillis(
                        outageMillis, ThreadLocalRandom.current().nextDouble());
        // An entry knows no decision of the leader on the lines of this request. It has one line.
        EventLog.warning(
                RequestLines.UNDECIDED,
                inDoubt ? Event.OUTCOME_UNKNOWN : Event.REQUEST_REFUSED,
                "reason",
                reason,
                "request",
                request.getRequestCase(),
                "path",
                request.getAddress().getPath(),
                "sinceLeaderReplyMillis",
                outageMillis);
        return WorkflowReply.newBuilder()
                .setVerdict(inDoubt ? Verdict.UNCERTAIN : Verdict.REFUSED)
                .setRetryAfterMillis(retryAfterMillis)
                .setMessage(reason)
                .build();
    }
}
