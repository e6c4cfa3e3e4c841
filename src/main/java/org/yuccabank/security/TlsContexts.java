package org.yuccabank.security;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;
import org.yuccabank.settings.TlsFiles;

/**
 * TLS contexts for mutual authentication between the processes of the system. A peer is trusted if
 * its certificate is signed by the private certificate authority of the installation. Names and
 * addresses in certificates are not verified, because processes move between addresses. Changed
 * keys apply to new connections without restart. Thread-safe.
 */
public final class TlsContexts implements PeerSecurity {

    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private record ContextPair(SslContext server, SslContext client) {}

    private final ReloadingValue<ContextPair> contexts;

    private TlsContexts(ReloadingValue<ContextPair> contexts) {
        this.contexts = contexts;
    }

    /**
     * Loads keys and certificates.
     *
     * @param files the PEM files
     * @return the contexts, or a finding about the files
     */
    public static Result<TlsContexts> load(TlsFiles files) {
        Objects.requireNonNull(files, "files is null");
        return ReloadingValue.load(
                        List.of(files.certificateFile(), files.keyFile(), files.trustFile()),
                        () -> contexts(files))
                .map(TlsContexts::new);
    }

    /**
     * Starts to check the files periodically for changes, until {@link #stop}.
     *
     * @return these contexts
     */
    public TlsContexts start() {
        contexts.start(ReloadingValue.DEFAULT_INTERVAL);
        return this;
    }

    /** Stops checking the files for changes. */
    public void stop() {
        contexts.stop();
    }

    /**
     * Reloads the files if they have changed.
     *
     * @return true if new keys took effect
     */
    public boolean refresh() {
        return contexts.refresh();
    }

    @Override
    public Optional<ChannelHandler> serverHandler(Channel channel) {
        return Optional.of(contexts.current().server().newHandler(channel.alloc()));
    }

    @Override
    public Optional<ChannelHandler> clientHandler(Channel channel) {
        return Optional.of(contexts.current().client().newHandler(channel.alloc()));
    }

    private static Result<ContextPair> contexts(TlsFiles files) {
        try {
            SslContext server =
                    SslContextBuilder.forServer(
                                    files.certificateFile().toFile(), files.keyFile().toFile())
                            .sslProvider(SslProvider.JDK)
                            .trustManager(files.trustFile().toFile())
                            .clientAuth(ClientAuth.REQUIRE)
                            .protocols(PROTOCOLS)
                            .build();
            SslContext client =
                    SslContextBuilder.forClient()
                            .sslProvider(SslProvider.JDK)
                            .keyManager(files.certificateFile().toFile(), files.keyFile().toFile())
                            .trustManager(files.trustFile().toFile())
                            .endpointIdentificationAlgorithm(null)
                            .protocols(PROTOCOLS)
                            .build();
            return Result.success(new ContextPair(server, client));
        } catch (SSLException | IllegalArgumentException exception) {
            // The exception message contains the file name or the error, but never the key.
            String message = "cannot load TLS keys or certificates: " + exception.getMessage();
            return Result.failure(
                    new SourcePosition(files.certificateFile().toString(), 1, 1), message);
        }
    }
}
