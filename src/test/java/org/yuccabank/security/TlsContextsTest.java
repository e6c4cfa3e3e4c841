package org.yuccabank.security;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.ssl.SslHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLException;
import org.testng.annotations.Test;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.settings.TlsFiles;

/** Tests which peers are trusted and that changed keys are reloaded. */
public final class TlsContextsTest {

    private static final Path FIXTURES =
            Path.of(System.getProperty("yuccabank.directory"), "src/test/resources/tls");
    private static final int MAXIMUM_ROUNDS = 100;

    private static TlsFiles files(Path directory, String process, String authority) {
        return new TlsFiles(
                directory.resolve(process + ".pem"),
                directory.resolve(process + ".key"),
                directory.resolve(authority + ".pem"));
    }

    private static TlsContexts contexts(String process, String authority) {
        return TlsContexts.load(files(FIXTURES, process, authority)).get();
    }

    /** Runs a handshake between two in-memory channels and returns the client's handler. */
    private static SslHandler handshake(PeerSecurity server, PeerSecurity client) {
        EmbeddedChannel allocatorChannel = new EmbeddedChannel();
        SslHandler serverHandler =
                (SslHandler) server.serverHandler(allocatorChannel).orElseThrow();
        SslHandler clientHandler =
                (SslHandler) client.clientHandler(allocatorChannel).orElseThrow();
        EmbeddedChannel serverChannel = new EmbeddedChannel(serverHandler);
        EmbeddedChannel clientChannel = new EmbeddedChannel(clientHandler);
        for (int round = 0; round < MAXIMUM_ROUNDS; round++) {
            transfer(clientChannel, serverChannel);
            transfer(serverChannel, clientChannel);
        }
        assertTrue(serverHandler.handshakeFuture().isSuccess());
        assertTrue(clientHandler.handshakeFuture().isSuccess());
        return clientHandler;
    }

    private static void transfer(EmbeddedChannel from, EmbeddedChannel to) {
        from.runPendingTasks();
        ByteBuf buffer = from.readOutbound();
        while (buffer != null) {
            to.writeInbound(buffer);
            buffer = from.readOutbound();
        }
    }

    private static String peerName(SslHandler handler) throws SSLException {
        X509Certificate peer =
                (X509Certificate) handler.engine().getSession().getPeerCertificates()[0];
        return peer.getSubjectX500Principal().getName();
    }

    /** Guards against rejecting a peer whose certificate is signed by the same authority. */
    @Test(timeOut = 20_000)
    public void shouldTrustPeersOfSameAuthority() throws SSLException {
        SslHandler client =
                handshake(contexts("process-1", "authority"), contexts("process-2", "authority"));
        assertEquals(peerName(client), "CN=process-1");
    }

    /** Guards against trusting a client or server with a certificate of another authority. */
    @Test(timeOut = 20_000)
    public void shouldRejectPeersOfOtherAuthority() {
        TlsContexts trusted = contexts("process-1", "authority");
        TlsContexts untrusted = contexts("stranger", "authority");
        assertThrows(DecoderException.class, () -> handshake(trusted, untrusted));
        assertThrows(DecoderException.class, () -> handshake(untrusted, trusted));
    }

    /** Guards against keys that apply only after a restart and outages due to an invalid file. */
    @Test(timeOut = 20_000)
    public void shouldReloadKeysWithoutRestart() throws IOException {
        Path directory = Files.createTempDirectory("tls");
        copy("process-1.pem", directory, "mine.pem");
        copy("process-1.key", directory, "mine.key");
        copy("authority.pem", directory, "authority.pem");
        TlsContexts server = TlsContexts.load(files(directory, "mine", "authority")).get();
        TlsContexts client = contexts("process-2", "authority");
        Files.writeString(directory.resolve("mine.key"), "damaged");
        assertFalse(server.refresh());
        assertEquals(peerName(handshake(server, client)), "CN=process-1");
        copy("process-2.pem", directory, "mine.pem");
        copy("process-2.key", directory, "mine.key");
        assertTrue(server.refresh());
        assertEquals(peerName(handshake(server, client)), "CN=process-2");
    }

    private static void copy(String fixture, Path directory, String name) throws IOException {
        Files.copy(
                FIXTURES.resolve(fixture),
                directory.resolve(name),
                StandardCopyOption.REPLACE_EXISTING);
    }

    /** Guards against an exception instead of a finding for a missing file. */
    @Test(timeOut = 20_000)
    public void shouldReportUnusableFiles() {
        String findings =
                TlsContexts.load(files(FIXTURES, "no-such-process", "authority"))
                        .findings()
                        .toString();
        assertTrue(findings.contains("no-such-process"), findings);
    }
}
