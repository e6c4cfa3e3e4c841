package org.yuccabank.state.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.cancel;
import static org.yuccabank.state.workflow.WorkflowFixtures.round;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.util.Collections;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.SchedulingRound;
import org.yuccabank.protocol.generated.WorkflowDefinition;

/** Tests which definitions are too large to be accepted. */
public final class WorkflowLimitsTest {

    private static WorkflowDefinition.Builder definition() {
        return WorkflowDefinition.newBuilder().addSteps(step(1));
    }

    /** Definitions that cost far more than their bytes, and the limit that they exceed. */
    @DataProvider
    public Object[][] excessiveDefinitions() {
        return new Object[][] {
            {definition().addSteps(step(WorkflowLimits.MAXIMUM_TASKS)), "tasks"},
            {definition().setOccurrences(WorkflowLimits.MAXIMUM_OCCURRENCES + 1), "occurrences"},
            // The product of these counts exceeds the range of a long.
            {
                definition()
                        .addAllSteps(Collections.nCopies(4, step(Integer.MAX_VALUE).build()))
                        .setOccurrences(Integer.MAX_VALUE),
                "occurrences"
            },
            {
                definition()
                        .addAllSteps(
                                Collections.nCopies(WorkflowLimits.MAXIMUM_STEPS, step(1).build())),
                "steps"
            },
            {
                definition().addSteps(step(1, new int[WorkflowLimits.MAXIMUM_DEPENDENCIES + 1])),
                "dependencies"
            },
            {definition().addSteps(step(1).setEstimatedMillis(Long.MAX_VALUE)), "duration"},
            {definition().setOccurrences(10).setIntervalMillis(Long.MAX_VALUE / 9), "duration"},
            {
                definition()
                        .addSteps(
                                step(1).setResources(
                                                ResourceVector.newBuilder()
                                                        .setProcessorMillis(Long.MAX_VALUE))),
                "resource"
            }
        };
    }

    /** Guards against a small request that exhausts the memory or the time of every replica. */
    @Test(dataProvider = "excessiveDefinitions")
    public void shouldRejectExcessiveDefinition(
            WorkflowDefinition.Builder definition, String what) {
        String violation = WorkflowLimits.violation(definition.build()).orElse("none");
        assertTrue(violation.contains(what), violation);
    }

    /** Guards against a limit that rejects what it allows. */
    @Test
    public void shouldAcceptDefinitionAtLimit() {
        WorkflowDefinition largest =
                WorkflowDefinition.newBuilder()
                        .addSteps(step(WorkflowLimits.MAXIMUM_TASKS / 10))
                        .setOccurrences(10)
                        .build();
        assertEquals(WorkflowLimits.violation(largest), Optional.empty());
    }

    /** Guards against cyclic or repeated dependencies that reach the planner. */
    @Test
    public void shouldDetectInvalidDependencies() {
        assertTrue(
                WorkflowLimits.hasOrderedDependencies(definition().addSteps(step(1, 0)).build()));
        for (int[] invalid : new int[][] {{1}, {2}, {-1}, {0, 0}}) {
            assertFalse(
                    WorkflowLimits.hasOrderedDependencies(
                            definition().addSteps(step(1, invalid)).build()));
        }
    }

    /** Guards against many workflows that together exhaust the memory of every replica. */
    @Test
    public void shouldHaveRoomAgainOnceWorkflowsHaveEnded() {
        WorkflowRecords records = new WorkflowRecords();
        WorkflowDefinition large =
                WorkflowDefinition.newBuilder()
                        .addSteps(step(WorkflowLimits.MAXIMUM_TASKS))
                        .build();
        int count = 0;
        while (records.hasRoomFor(large)) {
            count++;
            records.apply(accept(large.toBuilder().setWorkflowId("w" + count).build()), 1);
        }
        assertEquals(count, WorkflowLimits.MAXIMUM_LIVE_ELEMENTS / WorkflowLimits.MAXIMUM_TASKS);
        records.apply(cancel("w1"), 2);
        assertTrue(records.hasRoomFor(large));
        records.apply(round(SchedulingRound.newBuilder().addForgotten("w1")), 3);
        records.apply(accept(large.toBuilder().setWorkflowId("again").build()), 4);
        assertFalse(records.hasRoomFor(large));
    }
}
