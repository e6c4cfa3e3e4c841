package org.yuccabank.protocol;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** Listens for connections of other processes. Safe for use by several threads. */
public final class PeerServer {

    private final Channel channel;

    private PeerServer(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts to listen.
     *
     * @param transport threads and framing of this process
     * @param address address to listen on; port 0 lets the system choose
     * @param handler answers requests
     * @return the listening server
     * @throws java.io.UncheckedIOException if the address cannot be used
     */
    public static PeerServer start(
            PeerTransport transport, InetSocketAddress address, PeerHandler handler) {
        var bound = transport.serverBootstrap(handler).bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new java.io.UncheckedIOException(
                    new java.io.IOException(
                            "cannot listen on " + address + ": " + bound.cause().getMessage(),
                            bound.cause()));
        }
        return new PeerServer(bound.channel());
    }

    /**
     * Address on which the server listens.
     *
     * @return the address with the port that is in use
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Stops to listen; open connections stay open until the transport stops. */
    public void stop() {
        channel.close().awaitUninterruptibly();
    }
}
