package org.yuccabank.platform;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;
import org.yuccabank.agent.workflow.WorkerApi.ListOutcome;
import org.yuccabank.protocol.generated.WorkerIdentity;

/** Tests how the client of the worker takes failures. */
public final class MinionClientTest {

    /**
     * Guards against a leaving worker that counts as ended, so that its tasks start elsewhere,
     * because a connection to it was not opened in time.
     */
    @Test
    public void shouldTakeOnlyRefusedConnectionForEndOfWorker() {
        assertTrue(
                MinionClient.toListFailure(new ConnectTimeoutException("timed out"))
                        instanceof ListOutcome.Unavailable);
        assertTrue(
                MinionClient.toListFailure(new ConnectException("refused"))
                        instanceof ListOutcome.NotListening);
    }

    private static boolean isComplete(String listing) {
        WorkerIdentity worker =
                WorkerIdentity.newBuilder().setWorkerId("w").setBornMillis(5).build();
        byte[] body = listing.getBytes(StandardCharsets.UTF_8);
        return ((ListOutcome.Listing) MinionClient.toListing(200, body, worker)).complete();
    }

    private static String listing(int ends) {
        String finished =
                IntStream.rangeClosed(1, ends)
                        .mapToObj(
                                number ->
                                        "[" + number + ",\"a.0.0." + number + "\",1,\"done\",\"\"]")
                        .collect(Collectors.joining(","));
        return "{\"born\":5,\"clock_ms\":9,\"running\":[],\"finished\":[" + finished + "]}";
    }

    /**
     * Guards against conclusions from the absence of a run from a list that is truncated at 500
     * ends.
     */
    @Test
    public void shouldTakeListWithMaximumNumberOfEndsForIncomplete() {
        assertTrue(isComplete(listing(0)));
        assertTrue(isComplete(listing(MinionClient.MAXIMUM_LISTED_ENDS - 1)));
        assertFalse(isComplete(listing(MinionClient.MAXIMUM_LISTED_ENDS)));
    }

    /**
     * Guards against taking an answer that lacks a list, or a row of it, for a list without runs.
     */
    @Test
    public void shouldTakeListThatCannotBeReadForIncomplete() {
        assertFalse(isComplete("{\"born\":5,\"clock_ms\":9,\"finished\":[]}"));
        assertFalse(isComplete("{\"born\":5,\"clock_ms\":9,\"running\":[],\"finished\":{}}"));
        assertFalse(isComplete(listing(3).replace("[2,", "[\"2\",")));
        assertFalse(
                isComplete(
                        "{\"born\":5,\"clock_ms\":9,\"running\":[[\"a.0.0.0\",\"1\"]],"
                                + "\"finished\":[]}"));
    }
}
