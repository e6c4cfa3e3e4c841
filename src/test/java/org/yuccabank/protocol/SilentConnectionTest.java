package org.yuccabank.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.OutcomeAnswer;
import org.yuccabank.protocol.generated.OutcomeQuery;
import org.yuccabank.protocol.generated.Role;
import reactor.core.publisher.Mono;

/**
 * Guards against connections that stay open and silent for good, because a device between the
 * processes lost their state.
 */
public class SilentConnectionTest {

    private static final Duration LONG = Duration.ofSeconds(30);
    private static final PeerTimings TIMINGS =
            new PeerTimings(Duration.ofMillis(100), Duration.ofMillis(400), Duration.ofSeconds(1));
    private static final PeerTimings WITHOUT_LIVENESS =
            new PeerTimings(Duration.ofHours(1), Duration.ofHours(1), Duration.ofSeconds(1));

    private PeerTransport serverSide;
    private PeerServer server;
    private Forwarder forwarder;

    private static PeerTransport transport(PeerTimings timings) {
        Hello greeting = Hello.newBuilder().setProcessId("test").setRole(Role.ENTRY).build();
        return PeerTransport.start(greeting, () -> 0, timings, PeerSecurity.off(), 1);
    }

    private static Mono<Envelope> answer(PeerConnection from, Envelope request) {
        if (request.getOutcomeQuery().getRequestId().equals("never")) {
            return Mono.never();
        }
        return Mono.just(
                Envelope.newBuilder()
                        .setOutcomeAnswer(OutcomeAnswer.newBuilder().setFound(true))
                        .build());
    }

    private static Envelope question(String key) {
        return Envelope.newBuilder()
                .setOutcomeQuery(OutcomeQuery.newBuilder().setRequestId(key))
                .build();
    }

    @BeforeMethod
    void start() {
        serverSide = transport(TIMINGS);
        server =
                PeerServer.start(
                        serverSide,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        SilentConnectionTest::answer);
        forwarder = Forwarder.start(0, server.address());
    }

    @AfterMethod(alwaysRun = true)
    void stop() throws Exception {
        forwarder.close();
        server.stop();
        serverSide.stop();
    }

    @Test
    public void silentConnectionIsClosedItsRequestIsInDoubtAndANewConnectionWorks() {
        PeerTransport clientSide = transport(TIMINGS);
        PeerClient client = PeerClient.of(clientSide, forwarder.address(), PeerHandler.none());
        assertTrue(client.request(question("a"), LONG).block().hasOutcomeAnswer());
        forwarder.loseState();
        long start = System.nanoTime();
        PeerException failure =
                expectThrows(
                        PeerException.class, () -> client.request(question("b"), LONG).block());
        assertTrue(failure.isInDoubt());
        // The request has 30 s; only the silence limit can end it before.
        assertTrue(System.nanoTime() - start < LONG.toNanos() / 2);
        assertTrue(client.request(question("c"), LONG).block().hasOutcomeAnswer());
        assertEquals(forwarder.connectionCount(), 2);
        clientSide.stop();
    }

    @Test
    public void quietButLivingConnectionStaysOpen() throws Exception {
        PeerTransport clientSide = transport(TIMINGS);
        PeerClient client = PeerClient.of(clientSide, forwarder.address(), PeerHandler.none());
        client.request(question("a"), LONG).block();
        Thread.sleep(3 * TIMINGS.silenceLimit().toMillis());
        client.request(question("b"), LONG).block();
        assertEquals(forwarder.connectionCount(), 1);
        clientSide.stop();
    }

    @Test
    public void withoutHeartbeatsTheRequestHangsOnTheSilentConnection() {
        PeerTransport clientSide = transport(WITHOUT_LIVENESS);
        PeerClient client = PeerClient.of(clientSide, forwarder.address(), PeerHandler.none());
        // The server's heartbeats still come; only the client's own check is off.
        client.request(question("a"), LONG).block();
        forwarder.loseState();
        PeerException failure =
                expectThrows(
                        PeerException.class,
                        () -> client.request(question("b"), Duration.ofSeconds(2)).block());
        assertTrue(failure.getMessage().contains("no reply within"), failure.getMessage());
        clientSide.stop();
    }

    @Test
    public void garbageIsRefusedAndOtherConnectionsGoOn() throws Exception {
        PeerTransport clientSide = transport(TIMINGS);
        PeerClient client = PeerClient.of(clientSide, server.address(), PeerHandler.none());
        client.request(question("a"), LONG).block();
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            OutputStream output = socket.getOutputStream();
            output.write(new byte[] {0, 0, 0, 4, (byte) 0xFF, (byte) 0xFF, 1, 2});
            output.flush();
            socket.setSoTimeout(10_000);
            while (socket.getInputStream().read() >= 0) {
                // Greeting and heartbeats come before the server closes the connection.
            }
        }
        assertTrue(client.request(question("b"), LONG).block().hasOutcomeAnswer());
        clientSide.stop();
    }

    @Test
    public void requestBehindAPeerThatReadsNothingIsRefusedAsNotSent() throws Exception {
        try (java.net.ServerSocket mute =
                new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PeerTransport clientSide = transport(WITHOUT_LIVENESS);
            PeerClient client =
                    PeerClient.of(
                            clientSide,
                            (InetSocketAddress) mute.getLocalSocketAddress(),
                            PeerHandler.none());
            Envelope large =
                    Envelope.newBuilder()
                            .setInvoke(
                                    org.yuccabank.protocol.generated.Invoke.newBuilder()
                                            .setBody(
                                                    com.google.protobuf.ByteString.copyFrom(
                                                            new byte[1 << 20])))
                            .build();
            PeerException refusal = null;
            for (int count = 0; count < 64 && refusal == null; count++) {
                PeerException failure =
                        expectThrows(
                                PeerException.class,
                                () -> client.request(large, Duration.ofMillis(20)).block());
                refusal = failure.isInDoubt() ? null : failure;
            }
            assertTrue(refusal != null, "64 MiB were queued for a peer that reads nothing");
            clientSide.stop();
        }
    }
}
