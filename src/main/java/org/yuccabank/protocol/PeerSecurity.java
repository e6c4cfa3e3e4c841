package org.yuccabank.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.util.Optional;

/**
 * Supplies the TLS handlers of connections. Implementations are safe for use by several threads.
 */
public interface PeerSecurity {

    /**
     * Handler for a connection that a peer opened.
     *
     * @param channel the new channel
     * @return the handler, empty if connections are not encrypted
     */
    Optional<ChannelHandler> serverHandler(Channel channel);

    /**
     * Handler for a connection to a peer.
     *
     * @param channel the new channel
     * @return the handler, empty if connections are not encrypted
     */
    Optional<ChannelHandler> clientHandler(Channel channel);

    /**
     * Connections without encryption, allowed on loopback only.
     *
     * @return the security that adds no handler
     */
    static PeerSecurity plaintext() {
        return new PeerSecurity() {
            @Override
            public Optional<ChannelHandler> serverHandler(Channel channel) {
                return Optional.empty();
            }

            @Override
            public Optional<ChannelHandler> clientHandler(Channel channel) {
                return Optional.empty();
            }
        };
    }
}
