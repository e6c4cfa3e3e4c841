package org.yuccabank.agent;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import org.yuccabank.protocol.PeerAddress;
import org.yuccabank.protocol.PeerClient;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.AgentDirectives;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.Envelope;

/**
 * The connection to the control leader. Follows redirects to a new leader and tries the configured
 * addresses in turn if the leader is unknown. Confined to one event loop.
 */
final class ControlConnection {

    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(1);

    private final PeerTransport transport;
    private final List<InetSocketAddress> addresses;
    private final PeerHandler handler;
    private final BiConsumer<AgentDirectives, Long> onDirectives;
    private final Runnable onLeaderChange;
    private final java.util.concurrent.Executor loop;
    private PeerClient client;
    private int nextAddress;
    private long sentBytes;

    ControlConnection(
            PeerTransport transport,
            java.util.concurrent.Executor loop,
            List<InetSocketAddress> addresses,
            PeerHandler handler,
            BiConsumer<AgentDirectives, Long> onDirectives,
            Runnable onLeaderChange) {
        this.transport = transport;
        this.loop = loop;
        this.addresses = addresses;
        this.handler = handler;
        this.onDirectives = onDirectives;
        this.onLeaderChange = onLeaderChange;
    }

    /** Sends a report and passes the directives of the reply to the callback. */
    void send(AgentReport report) {
        if (client == null) {
            connect(addresses.get(Math.floorMod(nextAddress++, addresses.size())));
        }
        PeerClient peer = client;
        sentBytes += report.getSerializedSize();
        peer.request(Envelope.newBuilder().setAgentReport(report).build(), REPORT_TIMEOUT)
                .subscribe(
                        reply -> loop.execute(() -> onReply(peer, reply)),
                        error -> loop.execute(() -> disconnect(peer)));
    }

    private void onReply(PeerClient peer, Envelope reply) {
        switch (reply.getBodyCase()) {
            case AGENT_DIRECTIVES ->
                    onDirectives.accept(
                            reply.getAgentDirectives(), reply.getConfigurationVersion());
            case PROTOCOL_ERROR -> redirect(peer, reply.getProtocolError().getLeaderAddress());
            case COMMAND_RESULT -> {
                if (reply.getCommandResult().getVerdict() == CommandResult.Verdict.NOT_LEADER) {
                    redirect(peer, reply.getCommandResult().getLeaderAddress());
                }
            }
            default -> disconnect(peer);
        }
    }

    private void redirect(PeerClient peer, String leaderAddress) {
        if (client != peer) {
            return;
        }
        if (leaderAddress.isEmpty()) {
            disconnect(peer);
            return;
        }
        peer.stop();
        connect(PeerAddress.parse(leaderAddress));
        onLeaderChange.run();
    }

    private void connect(InetSocketAddress address) {
        client = PeerClient.of(transport, address, handler);
    }

    private void disconnect(PeerClient peer) {
        if (client == peer) {
            peer.stop();
            client = null;
        }
    }

    /** Returns the total size in bytes of the reports sent, without framing. */
    long sentBytes() {
        return sentBytes;
    }

    void stop() {
        if (client != null) {
            client.stop();
        }
    }
}
