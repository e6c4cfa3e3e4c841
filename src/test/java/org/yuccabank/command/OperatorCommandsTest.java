package org.yuccabank.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Tests the HTTP requests of operator commands against a fake entry. */
public final class OperatorCommandsTest {

    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private final List<String> idempotencyKeys = Collections.synchronizedList(new ArrayList<>());
    private DisposableServer server;
    private int status;
    private String responseBody;
    private int responsesToDrop;
    private ByteArrayOutputStream output;
    private ByteArrayOutputStream errors;

    /** Starts the fake entry, which records requests and returns the configured response. */
    @BeforeMethod
    public void start() {
        requests.clear();
        idempotencyKeys.clear();
        status = 200;
        responsesToDrop = 0;
        server =
                HttpServer.create()
                        .host("127.0.0.1")
                        .port(0)
                        .handle(
                                (request, response) ->
                                        request.receive()
                                                .aggregate()
                                                .asString()
                                                .defaultIfEmpty("")
                                                .flatMap(
                                                        body -> {
                                                            requests.add(
                                                                    request.method()
                                                                            + " "
                                                                            + request.uri()
                                                                            + " "
                                                                            + request.requestHeaders()
                                                                                    .get(
                                                                                            "Authorization")
                                                                            + " "
                                                                            + request.requestHeaders()
                                                                                    .get("If-Match")
                                                                            + " "
                                                                            + body);
                                                            idempotencyKeys.add(
                                                                    request.requestHeaders()
                                                                            .get(
                                                                                    "Idempotency-Key"));
                                                            if (responsesToDrop-- > 0) {
                                                                request.withConnection(
                                                                        connection ->
                                                                                connection
                                                                                        .dispose());
                                                                return Mono.never();
                                                            }
                                                            return response.status(status)
                                                                    .sendString(
                                                                            Mono.just(responseBody))
                                                                    .then();
                                                        }))
                        .bindNow();
    }

    /** Stops the fake entry. */
    @AfterMethod
    public void stop() {
        server.disposeNow();
    }

    private ExitCode run(String... arguments) {
        output = new ByteArrayOutputStream();
        errors = new ByteArrayOutputStream();
        List<String> commandLine = new ArrayList<>(List.of(arguments));
        commandLine.add("--entry");
        commandLine.add("127.0.0.1:" + server.port());
        return CommandRunner.of(Commands.all())
                .run(
                        commandLine.toArray(String[]::new),
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    private String printedText() {
        return output.toString(StandardCharsets.UTF_8) + errors.toString(StandardCharsets.UTF_8);
    }

    /** Guards against a rules update sent without its expected version or credentials. */
    @Test(timeOut = 20_000)
    public void shouldApplyRulesWithExpectedVersionAndToken() throws IOException {
        Path token = Files.writeString(Files.createTempFile("token", ""), "my-token\n");
        Path rules = Files.createTempFile("rules", ".txt");
        Files.writeString(rules, "batch a # asked by O");
        responseBody = "{\"version\":8}";
        ExitCode code =
                run(
                        "rules",
                        "apply",
                        rules.toString(),
                        "--expected-version",
                        "7",
                        "--token-file",
                        token.toString());
        assertEquals(code, ExitCode.SUCCESS, printedText());
        assertEquals(requests, List.of("PUT /v1/rules Bearer my-token \"7\" batch a # asked by O"));
        assertEquals(printedText().strip(), "version 8 is accepted");
        Files.writeString(rules, "batch a");
        assertEquals(
                run("rules", "apply", rules.toString(), "--expected-version", "7"),
                ExitCode.REFUSED);
        assertEquals(requests.size(), 1, "rules that are not valid must not be sent");
    }

    /** Guards against a retry with a new idempotency key, which would execute the command twice. */
    @Test(timeOut = 20_000)
    public void shouldRetryWithSameIdempotencyKey() {
        responseBody = "{}";
        responsesToDrop = 1;
        assertEquals(run("drain", "host 3"), ExitCode.SUCCESS, printedText());
        assertTrue(requests.get(0).startsWith("POST /v1/hosts/host%203/drain "), requests.get(0));
        assertTrue(idempotencyKeys.size() >= 2, idempotencyKeys.toString());
        assertEquals(idempotencyKeys.stream().distinct().count(), 1, idempotencyKeys.toString());
    }

    /** Guards against refused requests that exit with success or omit a finding. */
    @Test(timeOut = 20_000)
    public void shouldMapProblemsToExitCodes() {
        status = 409;
        responseBody =
                "{\"title\":\"conflict\",\"detail\":\"version is 9, by"
                        + " omar\",\"findings\":[\"f\"]}";
        assertEquals(run("jobs", "cancel", "job-1"), ExitCode.REFUSED);
        assertEquals(
                printedText().strip().lines().toList(),
                List.of("conflict: version is 9, by omar", "f"));
        status = 503;
        assertEquals(run("status"), ExitCode.UNAVAILABLE);
        server.disposeNow();
        assertEquals(run("status"), ExitCode.UNAVAILABLE);
        assertTrue(printedText().contains("--key"), printedText());
        assertEquals(run("jobs", "show"), ExitCode.USAGE);
    }

    /** Guards against missing table fields, and terminal control characters in response values. */
    @Test(timeOut = 20_000)
    public void shouldRenderTables() {
        responseBody =
                "{\"audit\":[{\"index\":3,\"atMillis\":1000,\"account\":\"omar\\u001b[2J\","
                        + "\"action\":\"apply\",\"verdict\":\"accepted\"}]}";
        assertEquals(run("audit"), ExitCode.SUCCESS);
        assertTrue(printedText().contains("1970-01-01T00:00:01Z"), printedText());
        assertTrue(printedText().contains("omar?[2J"), printedText());
        assertFalse(printedText().contains("\u001b"));
        assertEquals(run("audit", "--json"), ExitCode.SUCCESS);
        assertTrue(printedText().startsWith("{\"audit\":["), printedText());
        responseBody = "{\"job\":\"j\",\"taskStates\":[]}";
        assertEquals(run("jobs", "show", "j"), ExitCode.SUCCESS);
    }

    /** Guards against job options that are sent with wrong names or values. */
    @Test(timeOut = 20_000)
    public void shouldSubmitJob() {
        status = 201;
        responseBody = "{\"job\":\"job-1\"}";
        ExitCode code =
                run(
                        "jobs",
                        "submit",
                        "--kind",
                        "render",
                        "--processor-millis",
                        "2000",
                        "--memory-mebibytes",
                        "64",
                        "--run-ms",
                        "5",
                        "--checkpointable");
        assertEquals(code, ExitCode.SUCCESS, printedText());
        assertTrue(
                requests.get(0)
                        .endsWith(
                                "{\"kind\":\"render\",\"tasks\":1,\"runMillis\":5,\"priority\":1,"
                                        + "\"checkpointable\":true,\"resources\":{"
                                        + "\"processorMillis\":2000,\"memoryMebibytes\":64,"
                                        + "\"accelerators\":0}}"),
                requests.get(0));
    }
}
