package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.yuccabank.state.workflow.WorkflowFixtures.WORKER;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.run;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.state.workflow.WorkflowRecords;

/** Tests which assignments of a plan make one round. */
public final class RoundLimitTest {

    private static final int MAXIMUM = 5;

    private WorkflowRecords records;

    /** Accepts a gang of three, a gang of eight and a workflow of eight tasks. */
    @BeforeMethod
    public void acceptWorkflows() {
        records = new WorkflowRecords();
        records.apply(accept("small", step(3).setGang(true)), 0);
        records.apply(accept("large", step(8).setGang(true)), 0);
        records.apply(accept("plain", step(8)), 0);
    }

    private static Stream<Assignment> assignments(String workflowId, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> run(workflowId, 0, index, 1))
                .map(run -> Assignment.newBuilder().setRun(run).setWorker(WORKER).build());
    }

    private int roundSize(List<Assignment> planned) {
        List<Assignment> round = RoundLimit.firstRound(planned, MAXIMUM, records);
        assertEquals(round, planned.subList(0, round.size()));
        return round.size();
    }

    /**
     * Guards against members of a gang that start and end alone again and again, because the others
     * are cut from the round (CutGang of the second review).
     */
    @Test
    public void shouldNotSeparateMembersOfGang() {
        List<Assignment> gangOnly = assignments("large", 8).toList();
        assertEquals(roundSize(gangOnly), 8);
        List<Assignment> before =
                Stream.concat(assignments("plain", 2), assignments("large", 8)).toList();
        assertEquals(roundSize(before), 2);
        List<Assignment> two =
                Stream.concat(assignments("small", 3), assignments("large", 8)).toList();
        assertEquals(roundSize(two), 3);
        List<Assignment> behind =
                Stream.concat(assignments("large", 8), assignments("plain", 8)).toList();
        assertEquals(roundSize(behind), 8);
    }

    /** Guards against rounds that exceed the size of an entry of the log. */
    @Test
    public void shouldCutRoundOfOtherTasks() {
        assertEquals(roundSize(assignments("plain", 8).toList()), MAXIMUM);
        assertEquals(roundSize(assignments("plain", 4).toList()), 4);
    }
}
