package org.yuccabank.state.workflow;

import java.util.ArrayList;
import java.util.List;
import org.yuccabank.protocol.generated.AcceptWorkflow;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.CancelWorkflowById;
import org.yuccabank.protocol.generated.EndedRun;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.RunAddress;
import org.yuccabank.protocol.generated.RunEnding;
import org.yuccabank.protocol.generated.SchedulingRound;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.TaskAddress;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkflowCommand;
import org.yuccabank.protocol.generated.WorkflowDefinition;

/** Test fixtures for workflows and their commands. */
public final class WorkflowFixtures {

    /** A worker with a fixed incarnation. */
    public static final WorkerIdentity WORKER = worker("worker-1", 1_000);

    private WorkflowFixtures() {}

    /** Returns the identity of a worker. */
    public static WorkerIdentity worker(String workerId, long bornMillis) {
        return WorkerIdentity.newBuilder().setWorkerId(workerId).setBornMillis(bornMillis).build();
    }

    /** Returns a step of tasks with one core each that depends on the given steps. */
    public static StepDefinition.Builder step(int tasks, int... dependsOn) {
        StepDefinition.Builder step =
                StepDefinition.newBuilder()
                        .setTaskCount(tasks)
                        .setEstimatedMillis(1_000)
                        .setResources(
                                ResourceVector.newBuilder()
                                        .setProcessorMillis(1_000)
                                        .setMemoryMebibytes(100));
        for (int dependency : dependsOn) {
            step.addDependsOn(dependency);
        }
        return step;
    }

    /** Returns the command that accepts a workflow in a queue with two attempts. */
    public static WorkflowCommand accept(String workflowId, StepDefinition.Builder... steps) {
        WorkflowDefinition.Builder definition =
                WorkflowDefinition.newBuilder().setWorkflowId(workflowId);
        for (StepDefinition.Builder step : steps) {
            definition.addSteps(step);
        }
        return accept(definition.build());
    }

    /** Returns the command that accepts a definition in a queue with two attempts. */
    public static WorkflowCommand accept(WorkflowDefinition definition) {
        QueueDefinition queue =
                QueueDefinition.newBuilder()
                        .setName("queue")
                        .setService("service")
                        .setMostAttempts(2)
                        .setSlackFactor(2)
                        .build();
        return WorkflowCommand.newBuilder()
                .setAccept(AcceptWorkflow.newBuilder().setDefinition(definition).setQueue(queue))
                .build();
    }

    /** Returns the address of a run. */
    public static RunAddress run(String workflowId, int step, int index, int attempt) {
        return RunAddress.newBuilder()
                .setTask(
                        TaskAddress.newBuilder()
                                .setWorkflowId(workflowId)
                                .setStep(step)
                                .setIndex(index))
                .setAttempt(attempt)
                .build();
    }

    /** Returns a round that assigns runs to {@link #WORKER}. */
    public static WorkflowCommand assign(RunAddress... runs) {
        List<Assignment> assignments = new ArrayList<>();
        for (RunAddress run : runs) {
            assignments.add(Assignment.newBuilder().setRun(run).setWorker(WORKER).build());
        }
        return round(SchedulingRound.newBuilder().addAllAssigned(assignments));
    }

    /** Returns a round that ends a run. */
    public static WorkflowCommand end(RunAddress run, RunEnding ending) {
        return round(
                SchedulingRound.newBuilder()
                        .addEnded(EndedRun.newBuilder().setRun(run).setEnding(ending)));
    }

    /** Returns the command that cancels a workflow. */
    public static WorkflowCommand cancel(String workflowId) {
        return WorkflowCommand.newBuilder()
                .setCancel(CancelWorkflowById.newBuilder().setWorkflowId(workflowId))
                .build();
    }

    /** Returns the command that applies a round. */
    public static WorkflowCommand round(SchedulingRound.Builder round) {
        return WorkflowCommand.newBuilder().setRound(round).build();
    }
}
