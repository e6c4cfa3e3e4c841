package org.yuccabank.control.workflow;

import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.assign;
import static org.yuccabank.state.workflow.WorkflowFixtures.run;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.state.workflow.WorkflowFixtures;
import org.yuccabank.state.workflow.WorkflowRecords;

/**
 * Process that logs as a leader does, for {@link RequestLinesTest}. It writes the start directives
 * to the file that is its argument.
 */
public final class LeaderLinesProcess {

    static final int WORKFLOWS = 1_500;
    static final int TASKS = 10;

    /** Ten times the budget. */
    private static final double WORKFLOWS_PER_MILLI =
            10.0 * LineDecisions.TASKS_PER_SECOND / TASKS / 1_000;

    private LeaderLinesProcess() {}

    /** Accepts, assigns and ends the tasks of all workflows. */
    public static void main(String... arguments) throws IOException {
        EventLog.useJson("leader");
        WorkflowLog log = new WorkflowLog();
        WorkflowRecords records = new WorkflowRecords();
        LineDecisions decisions = new LineDecisions(0);
        try (OutputStream starts = Files.newOutputStream(Path.of(arguments[0]))) {
            for (int number = 0; number < WORKFLOWS; number++) {
                long nowMillis = (long) (number / WORKFLOWS_PER_MILLI);
                String id = "w" + number;
                WorkflowDefinition definition = accept(id, step(TASKS)).getAccept().getDefinition();
                WorkflowDefinition decided = decisions.decide(definition, nowMillis);
                log.accepted(
                        decided,
                        QueueDefinition.getDefaultInstance(),
                        FleetConfiguration.getDefaultInstance());
                records.apply(accept(decided), nowMillis);
                for (int task = 0; task < TASKS; task++) {
                    RunAddress run = run(id, 0, task, 1);
                    Assignment assignment =
                            Assignment.newBuilder()
                                    .setRun(run)
                                    .setWorker(WorkflowFixtures.WORKER)
                                    .build();
                    log.round(List.of(), List.of(assignment), records, nowMillis);
                    records.apply(assign(run), nowMillis);
                    StartRunBuilder.build(records.openRun(run).orElseThrow())
                            .writeDelimitedTo(starts);
                    EndedRun end =
                            EndedRun.newBuilder()
                                    .setRun(run)
                                    .setEnding(RunEnding.RUN_DONE)
                                    .setNumber(1)
                                    .build();
                    log.round(List.of(end), List.of(), records, nowMillis);
                }
            }
        }
    }
}
