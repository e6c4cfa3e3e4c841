package org.yuccabank.control;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.Test;
import org.yuccabank.protocol.PeerClient;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.WorkflowRequest;

/** Tests the responses of a control process without a replica. */
public final class ControlRelayTest {

    private static final Duration LIMIT = Duration.ofSeconds(5);

    /**
     * Guards against clients that cannot find the leader because they reach a host without a disk.
     */
    @Test
    public void shouldNameLeader() throws Exception {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        EventLoopGroup eventLoops = PeerTransport.eventLoopGroup("relay", 1);
        ControlRelay relay =
                ControlRelay.start("p", "d", address, () -> Optional.of("127.0.0.1:7"), eventLoops);
        PeerTransport transport = PeerTransport.startOn(Hello.getDefaultInstance(), eventLoops);
        try {
            Envelope request =
                    Envelope.newBuilder()
                            .setWorkflowRequest(WorkflowRequest.getDefaultInstance())
                            .build();
            Envelope reply =
                    PeerClient.of(transport, address, PeerHandler.none())
                            .request(request, LIMIT)
                            .block(LIMIT);
            assertEquals(reply.getProtocolError().getLeaderAddress(), "127.0.0.1:7");
        } finally {
            transport.stop();
            relay.stop();
            PeerTransport.shutDown(eventLoops);
        }
    }
}
