package org.yuccabank.control.workflow;

import static org.yuccabank.state.workflow.WorkflowFixtures.accept;
import static org.yuccabank.state.workflow.WorkflowFixtures.step;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.yuccabank.policy.workflow.FeasibleFirstOrder;
import org.yuccabank.policy.workflow.InterferenceAwareSelector;
import org.yuccabank.policy.workflow.Pressures;
import org.yuccabank.policy.workflow.WorkerCircuitBreaker;
import org.yuccabank.protocol.generated.Assignment;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.StepDefinition;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkerReport;
import org.yuccabank.state.workflow.WorkflowRecords;

/**
 * Measures a planning round over the number of steps of a workflow and the depth of their
 * dependencies, while no worker has room; see docs/bench.md for the command.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class PlanningBenchmark {

    private static final int DEPENDENCIES_PER_STEP = 3;

    private static final LearnedEstimates ESTIMATES =
            new LearnedEstimates() {
                @Override
                public double runMillis(String queueName, String stepKey, long declaredMillis) {
                    return declaredMillis;
                }

                @Override
                public Pressures pressures() {
                    return (serving, bestEffort) -> 0;
                }

                @Override
                public Map<String, Double> pressureLimits(String workerId) {
                    return Map.of();
                }
            };

    /** Number of steps. */
    @Param({"54", "540"})
    public int steps;

    /** Number of stages, where each step of a stage depends on three steps of the one before. */
    @Param({"1", "3", "9", "18"})
    public int depth;

    /** Number of tasks of each step. */
    @Param({"1", "10"})
    public int tasks;

    private final WorkflowPlanner planner =
            new WorkflowPlanner(new FeasibleFirstOrder(), new InterferenceAwareSelector());
    private WorkflowRecords records;
    private List<AvailableWorker> workers;

    /** Accepts one workflow. */
    @Setup
    public void setUp() {
        int width = steps / depth;
        StepDefinition.Builder[] definition =
                IntStream.range(0, steps)
                        .mapToObj(number -> step(tasks, dependencies(number, width)))
                        .toArray(StepDefinition.Builder[]::new);
        records = new WorkflowRecords();
        records.apply(accept("a", definition), 1);
        workers = IntStream.range(0, 11).mapToObj(PlanningBenchmark::fullWorker).toList();
    }

    private static int[] dependencies(int number, int width) {
        int stageStart = number / width * width;
        return IntStream.range(0, Math.min(width, DEPENDENCIES_PER_STEP))
                .map(offset -> stageStart - width + (number + offset) % width)
                .filter(dependency -> dependency >= 0)
                .toArray();
    }

    private static AvailableWorker fullWorker(int number) {
        WorkerReport report =
                WorkerReport.newBuilder()
                        .setWorker(
                                WorkerIdentity.newBuilder()
                                        .setWorkerId("w" + number)
                                        .setBornMillis(1))
                        .setService("service")
                        .setCapacity(ResourceVector.newBuilder().setProcessorMillis(1))
                        .build();
        return new AvailableWorker(report, WorkerCircuitBreaker.State.CLOSED);
    }

    /** Plans one round. */
    @Benchmark
    public List<Assignment> plan() {
        return planner.plan(records, workers, ESTIMATES, false, 1);
    }
}
