package org.yuccabank.control;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.PeerServer;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.ProtocolError;
import org.yuccabank.protocol.generated.Role;
import reactor.core.publisher.Mono;

/**
 * A control process on a host without a disk. It holds no replica and answers every request of the
 * peer protocol with the address of the leader, except replica messages, which it ignores.
 * Thread-safe.
 */
public final class ControlRelay {

    private final PeerTransport transport;
    private final PeerServer server;

    private ControlRelay(PeerTransport transport, PeerServer server) {
        this.transport = transport;
        this.server = server;
    }

    /**
     * Creates and starts a relay.
     *
     * @param processId identifier of the process
     * @param dataCentre data centre of the process
     * @param address address to listen on
     * @param leaderAddress supplies the address of the leader, empty while it is unknown
     * @param eventLoops event loops to run on; the relay does not shut them down
     * @return the relay
     */
    public static ControlRelay start(
            String processId,
            String dataCentre,
            InetSocketAddress address,
            Supplier<Optional<String>> leaderAddress,
            EventLoopGroup eventLoops) {
        Objects.requireNonNull(leaderAddress, "leaderAddress is null");
        Hello hello =
                Hello.newBuilder()
                        .setProcessId(processId)
                        .setRole(Role.CONTROL)
                        .setDataCentre(dataCentre)
                        .setIncarnation(System.currentTimeMillis())
                        .build();
        PeerTransport transport = PeerTransport.startOn(hello, eventLoops);
        PeerServer server =
                PeerServer.start(
                        transport,
                        address,
                        (from, request) -> reply(request, leaderAddress.get().orElse("")));
        EventLog.information(Event.ROLE_STARTED, "role", "control relay", "process", processId);
        return new ControlRelay(transport, server);
    }

    private static Mono<Envelope> reply(Envelope request, String leaderAddress) {
        if (request.hasReplicaMessage()) {
            return Mono.empty();
        }
        return Mono.just(
                Envelope.newBuilder()
                        .setProtocolError(
                                ProtocolError.newBuilder()
                                        .setCode("not-leader")
                                        .setMessage("this process holds no replica")
                                        .setLeaderAddress(leaderAddress))
                        .build());
    }

    /** Closes the server and all connections. */
    public void stop() {
        server.stop();
        transport.stop();
        EventLog.information(Event.ROLE_STOPPED, "role", "control relay");
    }
}
