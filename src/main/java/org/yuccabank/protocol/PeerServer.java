package org.yuccabank.protocol;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** Accepts connections from other processes. Thread-safe. */
public final class PeerServer {

    private final Channel channel;

    private PeerServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts a server.
     *
     * @param transport event loops and framing of this process
     * @param address address to listen on; port 0 selects a free port
     * @param handler handler for requests
     * @return the listening server
     * @throws java.io.UncheckedIOException if the address cannot be bound
     */
    public static PeerServer start(
            PeerTransport transport, InetSocketAddress address, PeerHandler handler) {
        var bindFuture = transport.serverBootstrap(handler).bind(address).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new java.io.UncheckedIOException(
                    new java.io.IOException(
                            "cannot listen on " + address + ": " + bindFuture.cause().getMessage(),
                            bindFuture.cause()));
        }
        return new PeerServer(bindFuture.channel());
    }

    /**
     * Returns the address on which the server listens.
     *
     * @return the address with the bound port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Closes the listener; open connections stay open until the transport stops. */
    public void stop() {
        channel.close().awaitUninterruptibly();
    }
}
