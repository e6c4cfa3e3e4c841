package org.yuccabank.agent.workflow;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.EndedRun;

/** Tests how the agent notices ends that its worker has discarded unseen. */
public final class EndNumbersTest {

    private static List<EndedRun> ends(long... numbers) {
        return LongStream.of(numbers)
                .mapToObj(number -> EndedRun.newBuilder().setNumber(number).build())
                .toList();
    }

    /** Guards against discarded ends that no log line shows. */
    @Test
    public void shouldCountGapsOfNewIncarnation() {
        EndNumbers numbers = new EndNumbers();
        numbers.reset();
        assertEquals(numbers.recordListed(ends(3, 4, 6)), 3);
        assertEquals(numbers.recordListed(ends(4, 6)), 0, "repeated ends are no gap");
        assertEquals(numbers.recordListed(ends(9)), 2);
    }

    /** Guards against false alarms after a restart of the agent. */
    @Test
    public void shouldNotCountEndsBeforeFirstListOfProcess() {
        EndNumbers numbers = new EndNumbers();
        assertEquals(numbers.recordListed(ends(70, 71)), 0);
        assertEquals(numbers.recordListed(ends(73)), 1);
    }
}
