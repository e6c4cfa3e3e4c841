package org.yuccabank.platform;

import static org.testng.Assert.assertTrue;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import org.testng.annotations.Test;
import org.yuccabank.agent.workflow.WorkerApi.ListOutcome;

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
}
