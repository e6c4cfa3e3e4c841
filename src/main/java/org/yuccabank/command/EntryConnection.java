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
 * Connection of an operator's command to an entry. A request whose answer is lost is sent again
 * under the same idempotency key, so that it takes effect once. Immutable.
 */
final class EntryConnection {

    /** Environment variable that names the entry. */
    static final String ENTRY_VARIABLE = "YUCCABANK_ENTRY";

    private static final String DEFAULT_ENTRY = "127.0.0.1:7400";
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(15);
    private static final int RESENDS = 2;
    private static final Duration RESEND_DELAY = Duration.ofMillis(300);
    private static final String KEY = "key";

    private final InetSocketAddress entry;
    private final Optional<Secret> token;
    private final Optional<String> account;
    private final String key;

    private EntryConnection(
            InetSocketAddress entry, Optional<Secret> token, Optional<String> account, String key) {
        this.entry = entry;
        this.token = token;
        this.account = account;
        this.key = key;
    }

    /** Adds the options that every operator's command has. */
    static Options addOptions(Options options) {
        return options.addOption(
                        CommandOptions.value(
                                "entry",
                                "ADDRESS",
                                "Entry; else $YUCCABANK_ENTRY or 127.0.0.1:7400."))
                .addOption(
                        CommandOptions.value("token-file", "FILE", "File with the bearer token."))
                .addOption(
                        CommandOptions.value(
                                "account", "NAME", "Account, if the entry has security off."))
                .addOption(
                        CommandOptions.value(
                                KEY, "KEY", "Idempotency key; a resend uses the same one."));
    }

    /**
     * Reads the options.
     *
     * @param line the parsed options
     * @return the connection, or why the token cannot be read
     * @throws ParseException if the address is wrong
     */
    static Result<EntryConnection> of(CommandLine line) throws ParseException {
        String fallback = Optional.ofNullable(System.getenv(ENTRY_VARIABLE)).orElse(DEFAULT_ENTRY);
        String text = line.getOptionValue("entry", fallback);
        InetSocketAddress entry =
                Addresses.parse(text)
                        .orElseThrow(
                                () ->
                                        new ParseException(
                                                "--entry needs an IP address with a port, not "
                                                        + text));
        Optional<String> account = Optional.ofNullable(line.getOptionValue("account"));
        String key = line.getOptionValue(KEY, UUID.randomUUID().toString());
        String file = line.getOptionValue("token-file");
        if (file == null) {
            return Result.success(new EntryConnection(entry, Optional.empty(), account, key));
        }
        return Secret.read(Path.of(file))
                .map(token -> new EntryConnection(entry, Optional.of(token), account, key));
    }

    /** Idempotency key of the command. */
    String key() {
        return key;
    }

    /** The entry in words. */
    String address() {
        return Addresses.format(entry);
    }

    /**
     * Sends a request and waits for the answer.
     *
     * @param request the request
     * @return the answer, empty if no answer came
     */
    Optional<EntryAnswer> send(EntryRequest request) {
        return HttpClient.newConnection()
                .responseTimeout(ANSWER_LIMIT)
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
                                                        EntryAnswer.of(
                                                                response.status().code(), text)))
                .retryWhen(
                        Retry.fixedDelay(RESENDS, RESEND_DELAY)
                                .filter(IOException.class::isInstance))
                .onErrorResume(error -> Mono.empty())
                .blockOptional();
    }

    private void addHeaders(HttpHeaders headers, EntryRequest request) {
        request.headers().forEach(headers::set);
        headers.set("Idempotency-Key", key);
        token.ifPresent(secret -> headers.set("Authorization", "Bearer " + secret.reveal()));
        account.ifPresent(name -> headers.set("Yuccabank-Account", name));
    }
}
