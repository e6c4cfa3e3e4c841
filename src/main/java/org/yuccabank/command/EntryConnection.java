package org.yuccabank.command;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.yuccabank.result.Result;
import org.yuccabank.security.Secret;
import org.yuccabank.settings.Addresses;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.util.retry.Retry;

/**
 * HTTP client of operator commands for an entry process. A request whose response is lost is
 * retried with the same idempotency key, so that it takes effect only once. Immutable.
 */
final class EntryConnection {

    /** Environment variable with the address of the entry. */
    static final String ENTRY_VARIABLE = "YUCCABANK_ENTRY";

    private static final String DEFAULT_ENTRY = "127.0.0.1:7400";
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);
    private static final int MAXIMUM_RETRIES = 2;
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);
    private static final String KEY_OPTION = "key";

    private final InetSocketAddress entry;
    private final Optional<Secret> token;
    private final Optional<String> account;
    private final String idempotencyKey;

    private EntryConnection(
            InetSocketAddress entry,
            Optional<Secret> token,
            Optional<String> account,
            String idempotencyKey) {
        this.entry = entry;
        this.token = token;
        this.account = account;
        this.idempotencyKey = idempotencyKey;
    }

    /** Adds the connection options, which every operator command has. */
    static Options addOptions(Options options) {
        return options.addOption(
                        CommandOptions.value(
                                "entry",
                                "ADDRESS",
                                "Address; default $YUCCABANK_ENTRY or 127.0.0.1:7400."))
                .addOption(
                        CommandOptions.value("token-file", "FILE", "File with the bearer token."))
                .addOption(
                        CommandOptions.value(
                                "account", "NAME", "Account, for an entry with security off."))
                .addOption(
                        CommandOptions.value(
                                KEY_OPTION,
                                "KEY",
                                "Idempotency key; reuse it to retry a command."));
    }

    /**
     * Creates a connection from the command line options.
     *
     * @param line the parsed options
     * @return the connection, or the findings about the token file
     * @throws ParseException if the address is not valid
     */
    static Result<EntryConnection> of(CommandLine line) throws ParseException {
        String defaultAddress =
                Optional.ofNullable(System.getenv(ENTRY_VARIABLE)).orElse(DEFAULT_ENTRY);
        String text = line.getOptionValue("entry", defaultAddress);
        InetSocketAddress entry =
                Addresses.parse(text)
                        .orElseThrow(
                                () ->
                                        new ParseException(
                                                "--entry must be an IP address with a port, not "
                                                        + text));
        Optional<String> account = Optional.ofNullable(line.getOptionValue("account"));
        String idempotencyKey = line.getOptionValue(KEY_OPTION, UUID.randomUUID().toString());
        String file = line.getOptionValue("token-file");
        if (file == null) {
            return Result.success(
                    new EntryConnection(entry, Optional.empty(), account, idempotencyKey));
        }
        return Secret.read(Path.of(file))
                .map(
                        token ->
                                new EntryConnection(
                                        entry, Optional.of(token), account, idempotencyKey));
    }

    /** Returns the idempotency key, which all requests of this connection have. */
    String idempotencyKey() {
        return idempotencyKey;
    }

    /** Returns the address of the entry as text. */
    String address() {
        return Addresses.format(entry);
    }

    /**
     * Sends a request and waits for the response. Retries after an I/O error.
     *
     * @param request the request
     * @return the response, empty if none was received
     */
    Optional<EntryResponse> send(EntryRequest request) {
        return HttpClient.newConnection()
                .responseTimeout(RESPONSE_TIMEOUT)
                .headers(headers -> addHeaders(headers, request))
                .request(request.method())
                .uri("http://" + address() + request.path())
                .send(ByteBufMono.fromString(Mono.just(request.body())))
                .responseSingle(
                        (response, body) ->
                                body.asString()
                                        .defaultIfEmpty("")
                                        .map(
                                                text ->
                                                        EntryResponse.parse(
                                                                response.status().code(), text)))
                .retryWhen(
                        Retry.fixedDelay(MAXIMUM_RETRIES, RETRY_DELAY)
                                .filter(IOException.class::isInstance))
                .onErrorResume(error -> Mono.empty())
                .blockOptional();
    }

    private void addHeaders(HttpHeaders headers, EntryRequest request) {
        request.headers().forEach(headers::set);
        headers.set("Idempotency-Key", idempotencyKey);
        token.ifPresent(secret -> headers.set("Authorization", "Bearer " + secret.reveal()));
        account.ifPresent(name -> headers.set("Yuccabank-Account", name));
    }
}
