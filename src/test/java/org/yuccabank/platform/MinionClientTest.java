package org.yuccabank.platform;

import static org.testng.Assert.assertTrue;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;
import org.yuccabank.agent.workflow.WorkerApi.CallOutcome;
import org.yuccabank.agent.workflow.WorkerApi.ListOutcome;
import org.yuccabank.protocol.generated.WorkerIdentity;

/** Tests how the client of the worker takes failures. */
public final class MinionClientTest {

    /**
     * Guards against a run that counts as started on an incarnation, although the next one has
     * started it.
     */
    @Test
    public void shouldNotTakeAnswerOfOtherIncarnationForOutcome() {
        WorkerIdentity worker = WorkerIdentity.newBuilder().setBornMillis(7).build();
        byte[] same = "{\"clock_ms\":1,\"born\":7}".getBytes(StandardCharsets.UTF_8);
        byte[] other = "{\"clock_ms\":1,\"born\":8}".getBytes(StandardCharsets.UTF_8);
        byte[] unnamed = "{\"clock_ms\":1}".getBytes(StandardCharsets.UTF_8);
        assertTrue(MinionClient.toOutcome(200, same, worker) instanceof CallOutcome.Done);
        assertTrue(MinionClient.toOutcome(200, unnamed, worker) instanceof CallOutcome.Done);
        assertTrue(MinionClient.toOutcome(200, other, worker) instanceof CallOutcome.Unanswered);
    }

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
}
