package org.yuccabank.protocol;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.Envelope;
import reactor.core.publisher.Mono;

/**
 * Sends requests to the leader of the control group and tracks leader changes.
 *
 * <p>A control process that is not the leader rejects a request without accepting it, so the
 * request is safe to send to another process. A request without a reply is in doubt and is not
 * retried by this class. Thread-safe.
 */
public final class LeaderClient {

    /**
     * Time after its last request for which a connection stays open. Each open connection costs a
     * heartbeat in both directions, so those to followers are closed.
     */
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final PeerTransport transport;
    private final PeerHandler handler;
    private volatile List<InetSocketAddress> configuredAddresses;
    private volatile List<InetSocketAddress> knownAddresses;
    private final Map<InetSocketAddress, PeerClient> clients = new ConcurrentHashMap<>();
    private volatile InetSocketAddress presumedLeader;

    private LeaderClient(
            PeerTransport transport, List<InetSocketAddress> addresses, PeerHandler handler) {
        this.transport = transport;
        this.configuredAddresses = List.copyOf(addresses);
        this.knownAddresses = configuredAddresses;
        this.handler = handler;
        this.presumedLeader = this.knownAddresses.get(0);
    }

    /**
     * Creates a client for a control group.
     *
     * @param transport event loops and framing of this process
     * @param addresses addresses of the control processes, at least one
     * @param handler handler for requests that a control process sends on its connection
     * @return the client
     * @throws IllegalArgumentException if {@code addresses} is empty
     */
    public static LeaderClient of(
            PeerTransport transport, List<InetSocketAddress> addresses, PeerHandler handler) {
        Objects.requireNonNull(transport, "transport is null");
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("addresses is empty");
        }
        return new LeaderClient(transport, addresses, handler);
    }

    /**
     * Sends a request to the leader.
     *
     * @param request the request
     * @param timeout total time for finding the leader and receiving its reply
     * @return the reply, or an error with a {@link PeerException}
     */
    public Mono<Envelope> request(Envelope request, Duration timeout) {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        return attempt(request, addressesStartingWith(presumedLeader), 0, deadlineNanos);
    }

    /**
     * Returns the address to which the next request is sent first.
     *
     * @return address of the process that last replied as the leader, or of the next candidate
     */
    public InetSocketAddress presumedLeader() {
        return presumedLeader;
    }

    /**
     * Updates the addresses of the current group members. The configured addresses stay in use,
     * because a member may become reachable again at one of them.
     *
     * @param members addresses in the format of {@link PeerAddress}
     */
    public void updateMembers(List<String> members) {
        Set<InetSocketAddress> addresses = new LinkedHashSet<>();
        members.forEach(member -> addresses.add(PeerAddress.parse(member)));
        addresses.addAll(configuredAddresses);
        if (!Set.copyOf(knownAddresses).equals(addresses)) {
            knownAddresses = List.copyOf(addresses);
        }
    }

    /**
     * Replaces the configured addresses.
     *
     * @param addresses addresses of control processes, at least one
     * @throws IllegalArgumentException if {@code addresses} is empty
     */
    public void updateConfiguredAddresses(List<InetSocketAddress> addresses) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("addresses is empty");
        }
        configuredAddresses = List.copyOf(addresses);
        Set<InetSocketAddress> merged = new LinkedHashSet<>(knownAddresses);
        merged.addAll(addresses);
        knownAddresses = List.copyOf(merged);
    }

    private Mono<Envelope> attempt(
            Envelope request,
            List<InetSocketAddress> candidates,
            int position,
            long deadlineNanos) {
        Duration remaining = Duration.ofNanos(deadlineNanos - System.nanoTime());
        if (remaining.isNegative() || remaining.isZero()) {
            return Mono.error(PeerException.notSent("no leader of the control group was found"));
        }
        if (position >= candidates.size()) {
            return Mono.delay(RETRY_DELAY)
                    .flatMap(
                            tick ->
                                    attempt(
                                            request,
                                            addressesStartingWith(presumedLeader),
                                            0,
                                            deadlineNanos));
        }
        InetSocketAddress address = candidates.get(position);
        return client(address)
                .request(request, remaining)
                .flatMap(
                        reply -> {
                            Optional<String> leader = leaderRedirect(reply);
                            if (leader.isEmpty()) {
                                presumedLeader = address;
                                closeIdleConnections(System.nanoTime());
                                return Mono.just(reply);
                            }
                            return followRedirect(
                                    request, candidates, position, leader.get(), deadlineNanos);
                        })
                .onErrorResume(
                        PeerException.class,
                        error ->
                                error.isInDoubt()
                                        ? failInDoubt(address, error)
                                        : tryNextAddress(
                                                request, candidates, position, deadlineNanos));
    }

    private void closeIdleConnections(long nowNanos) {
        clients.values().forEach(client -> client.closeIfIdle(IDLE_CONNECTION_TIMEOUT, nowNanos));
    }

    /**
     * Sends the request to the next candidate. If the failed address was the presumed leader, later
     * requests also start with the next candidate, because connecting to a host without power can
     * take the whole timeout of a request.
     */
    private Mono<Envelope> tryNextAddress(
            Envelope request,
            List<InetSocketAddress> candidates,
            int position,
            long deadlineNanos) {
        InetSocketAddress failed = candidates.get(position);
        if (failed.equals(presumedLeader) && candidates.size() > 1) {
            presumedLeader = candidates.get((position + 1) % candidates.size());
        }
        return attempt(request, candidates, position + 1, deadlineNanos);
    }

    private Mono<Envelope> failInDoubt(InetSocketAddress address, PeerException error) {
        if (address.equals(presumedLeader)) {
            List<InetSocketAddress> candidates = addressesStartingWith(address);
            presumedLeader = candidates.get(candidates.size() - 1);
        }
        return Mono.error(error);
    }

    private Mono<Envelope> followRedirect(
            Envelope request,
            List<InetSocketAddress> candidates,
            int position,
            String leader,
            long deadlineNanos) {
        if (!leader.isEmpty() && position == 0) {
            InetSocketAddress redirected = PeerAddress.parse(leader);
            if (!redirected.equals(candidates.get(0))) {
                presumedLeader = redirected;
                return attempt(request, addressesStartingWith(redirected), 0, deadlineNanos);
            }
        }
        return attempt(request, candidates, position + 1, deadlineNanos);
    }

    /**
     * Returns the leader's address if a reply comes from a process that is not the leader.
     *
     * @return address of the leader, or an empty string if the replying process does not know it;
     *     empty if the reply comes from the leader
     */
    private static Optional<String> leaderRedirect(Envelope reply) {
        if (reply.hasProtocolError() && reply.getProtocolError().getCode().equals("not-leader")) {
            return Optional.of(reply.getProtocolError().getLeaderAddress());
        }
        CommandResult result = reply.getCommandResult();
        if (reply.hasCommandResult() && result.getVerdict() == Verdict.NOT_LEADER) {
            return Optional.of(result.getLeaderAddress());
        }
        return Optional.empty();
    }

    private List<InetSocketAddress> addressesStartingWith(InetSocketAddress first) {
        List<InetSocketAddress> candidates = new ArrayList<>();
        candidates.add(first);
        knownAddresses.stream().filter(address -> !address.equals(first)).forEach(candidates::add);
        return candidates;
    }

    private PeerClient client(InetSocketAddress address) {
        return clients.computeIfAbsent(address, key -> PeerClient.of(transport, key, handler));
    }

    /** Closes all connections. */
    public void stop() {
        clients.values().forEach(PeerClient::stop);
    }
}
