package org.yuccabank.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.util.Optional;

/** Provides the TLS handlers of connections. Implementations are thread-safe. */
public interface PeerSecurity {

    /**
     * Returns the handler for an accepted connection.
     *
     * @param channel the new channel
     * @return the handler, empty if connections are not encrypted
     */
    Optional<ChannelHandler> serverHandler(Channel channel);

    /**
     * Returns the handler for an outgoing connection.
     *
     * @param channel the new channel
     * @return the handler, empty if connections are not encrypted
     */
    Optional<ChannelHandler> clientHandler(Channel channel);

    /**
     * Returns the configuration without encryption, which is allowed on loopback only.
     *
     * @return an instance that adds no handler
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
