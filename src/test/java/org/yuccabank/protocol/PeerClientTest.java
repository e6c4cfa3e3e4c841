package org.yuccabank.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.InvokeResult;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Tests the matching of replies to requests and the outcome of failed requests. */
public final class PeerClientTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private PeerTransport transport;

    /** Starts the transport. */
    @BeforeMethod
    public void start() {
        Hello hello = Hello.newBuilder().setProcessId("test").build();
        transport =
                PeerTransport.start(
                        hello, () -> 7, PeerTimings.defaults(), PeerSecurity.plaintext(), 1);
    }

    /** Stops the transport. */
    @AfterMethod
    public void stop() {
        transport.stop();
    }

    private static Envelope invoke(String requestId) {
        return Envelope.newBuilder().setInvoke(Invoke.newBuilder().setRequestId(requestId)).build();
    }

    /** Guards against delivering a reply to the wrong request when replies are reordered. */
    @Test
    public void shouldMatchReorderedRepliesToRequests() {
        PeerHandler reorderingHandler =
                (from, request) -> {
                    String requestId = request.getInvoke().getRequestId();
                    long delay = (Integer.parseInt(requestId) * 7) % 50;
                    InvokeResult result = InvokeResult.newBuilder().setReason(requestId).build();
                    return Mono.just(Envelope.newBuilder().setInvokeResult(result).build())
                            .delayElement(Duration.ofMillis(delay));
                };
        PeerServer server =
                PeerServer.start(
                        transport, new InetSocketAddress("127.0.0.1", 0), reorderingHandler);
        PeerClient client = PeerClient.of(transport, server.address(), PeerHandler.none());
        List<Boolean> matches =
                Flux.range(0, 500)
                        .flatMap(
                                number ->
                                        client.request(invoke("" + number), TIMEOUT)
                                                .map(reply -> reply.getInvokeResult().getReason())
                                                .map(("" + number)::equals),
                                64)
                        .collectList()
                        .block(TIMEOUT);
        assertEquals(matches.size(), 500);
        assertFalse(matches.contains(false));
    }

    /** Guards against reporting a request as not sent although the peer may have received it. */
    @Test
    public void shouldBeInDoubtWhenConnectionClosesAfterSend() {
        PeerHandler closingHandler =
                (from, request) -> {
                    if (request.hasInvoke()) {
                        from.close();
                    }
                    return Mono.never();
                };
        PeerServer server =
                PeerServer.start(transport, new InetSocketAddress("127.0.0.1", 0), closingHandler);
        PeerClient client = PeerClient.of(transport, server.address(), PeerHandler.none());
        PeerException error =
                expectThrows(
                        PeerException.class,
                        () -> client.request(invoke("1"), TIMEOUT).block(TIMEOUT));
        assertTrue(error.isInDoubt());
    }

    /** Guards against reporting a request as in doubt although it was never sent. */
    @Test
    public void shouldReportNotSentWhenConnectionIsRefused() {
        PeerServer server =
                PeerServer.start(
                        transport, new InetSocketAddress("127.0.0.1", 0), PeerHandler.none());
        InetSocketAddress address = server.address();
        server.stop();
        PeerClient client = PeerClient.of(transport, address, PeerHandler.none());
        PeerException error =
                expectThrows(
                        PeerException.class,
                        () -> client.request(invoke("1"), TIMEOUT).block(TIMEOUT));
        assertFalse(error.isInDoubt());
    }

    /** Guards against taking a paused process, whose host accepts connections, for a lost host. */
    @Test
    public void shouldReachProcessThatDoesNotReplyButNotOneThatIsGone() {
        PeerServer server =
                PeerServer.start(
                        transport,
                        new InetSocketAddress("127.0.0.1", 0),
                        (from, request) -> Mono.never());
        PeerClient client = PeerClient.of(transport, server.address(), PeerHandler.none());
        assertFalse(client.isUnreachable());
        expectThrows(
                PeerException.class,
                () -> client.request(invoke("1"), Duration.ofMillis(50)).block(TIMEOUT));
        assertFalse(client.isUnreachable());
        server.stop();
        PeerClient other = PeerClient.of(transport, server.address(), PeerHandler.none());
        expectThrows(PeerException.class, () -> other.request(invoke("2"), TIMEOUT).block(TIMEOUT));
        assertTrue(other.isUnreachable());
    }
}
