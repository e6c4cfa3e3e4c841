package org.yuccabank.protocol;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import org.yuccabank.protocol.generated.Envelope;
import reactor.core.publisher.Mono;

/**
 * Client with one connection to an address, which it reopens on demand.
 *
 * <p>Invariant: at most one connection attempt is in progress. A request is sent at most once; this
 * class never retries. Thread-safe.
 */
public final class PeerClient {

    private final PeerTransport transport;
    private final InetSocketAddress address;
    private final PeerHandler handler;
    private Mono<PeerConnection> pendingConnection;
    private volatile PeerConnection connection;
    private volatile long lastRequestNanos = System.nanoTime();
    private volatile boolean lastAttemptFailed;
    private volatile boolean stopped;

    private PeerClient(PeerTransport transport, InetSocketAddress address, PeerHandler handler) {
        this.transport = transport;
        this.address = address;
        this.handler = handler;
    }

    /**
     * Creates a client that connects when the first request is sent.
     *
     * @param transport event loops and framing of this process
     * @param address address of the peer
     * @param handler handler for requests that the peer sends on this connection
     * @return the client
     */
    public static PeerClient of(
            PeerTransport transport, InetSocketAddress address, PeerHandler handler) {
        Objects.requireNonNull(transport, "transport is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(handler, "handler is null");
        return new PeerClient(transport, address, handler);
    }

    /**
     * Sends a request, connecting first if necessary.
     *
     * @param request the request
     * @param timeout time to wait for the reply
     * @return the reply, or an error with a {@link PeerException}
     */
    public Mono<Envelope> request(Envelope request, Duration timeout) {
        lastRequestNanos = System.nanoTime();
        return connectIfNeeded().flatMap(current -> current.request(request, timeout));
    }

    /**
     * Sends a message that needs no reply, connecting first if necessary. The message is dropped if
     * the connection cannot be opened.
     *
     * @param message the message
     */
    public void send(Envelope message) {
        PeerConnection current = connection;
        if (current != null && current.isOpen()) {
            current.send(message);
        } else {
            connectIfNeeded().subscribe(newConnection -> newConnection.send(message), error -> {});
        }
    }

    /**
     * Closes the connection if no request was sent for the given time. The next request opens a new
     * one.
     *
     * @param idleTimeout time without a request after which the connection is closed
     * @param nowNanos current time of {@link System#nanoTime()}
     */
    public void closeIfIdle(Duration idleTimeout, long nowNanos) {
        PeerConnection current = connection;
        if (current != null && nowNanos - lastRequestNanos > idleTimeout.toNanos()) {
            connection = null;
            current.close();
        }
    }

    /**
     * Returns the address of the peer.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return address;
    }

    /**
     * Returns whether the latest attempt to connect was refused or timed out. A connection that was
     * open and is lost does not count until the next attempt has failed.
     *
     * @return true after a failed attempt, until an attempt succeeds
     */
    public boolean isUnreachable() {
        return lastAttemptFailed;
    }

    /** Closes the connection; later requests that need a new one fail as not sent. */
    public void stop() {
        stopped = true;
        PeerConnection current = connection;
        if (current != null) {
            current.close();
        }
    }

    private Mono<PeerConnection> connectIfNeeded() {
        PeerConnection current = connection;
        if (current != null && current.isOpen()) {
            return Mono.just(current);
        }
        return sharedConnectionAttempt();
    }

    private synchronized Mono<PeerConnection> sharedConnectionAttempt() {
        if (stopped) {
            return Mono.error(PeerException.notSent("client is stopped"));
        }
        if (pendingConnection == null) {
            pendingConnection = Mono.<PeerConnection>create(sink -> connect(sink)).cache();
        }
        return pendingConnection;
    }

    private void connect(reactor.core.publisher.MonoSink<PeerConnection> sink) {
        ChannelFuture future = transport.clientBootstrap(address, handler).connect();
        future.addListener(
                result -> {
                    clearPendingConnection();
                    lastAttemptFailed = !result.isSuccess();
                    if (result.isSuccess()) {
                        PeerConnection newConnection =
                                future.channel().pipeline().get(PeerConnection.class);
                        connection = newConnection;
                        sink.success(newConnection);
                    } else {
                        sink.error(
                                PeerException.notSent(
                                        "cannot connect to "
                                                + address
                                                + ": "
                                                + result.cause().getMessage()));
                    }
                });
    }

    private synchronized void clearPendingConnection() {
        pendingConnection = null;
    }
}
