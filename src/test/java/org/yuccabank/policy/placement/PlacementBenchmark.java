package org.yuccabank.policy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
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
import org.yuccabank.model.AccountId;
import org.yuccabank.model.HostId;
import org.yuccabank.model.JobId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.TaskId;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.interference.LearnedSlowdown;
import org.yuccabank.rules.RuleSet;

/** Measures time and allocation of one placement decision; see docs/bench.md for the command. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PlacementBenchmark {

    private static final Resources HOST = Resources.of(16_000, 61_440, 0);
    private static final List<WorkKind> KINDS =
            List.of(
                    WorkKind.of("preview"),
                    WorkKind.of("gallery"),
                    WorkKind.of("render"),
                    WorkKind.of("encode"),
                    WorkKind.of("print"),
                    WorkKind.of("thumbnail"));

    @Param({"11", "100", "910"})
    public int hosts;

    /** True if all hosts are full, which is the most expensive case. */
    @Param({"false", "true"})
    public boolean full;

    private ClusterView cluster;
    private PlacementPolicy interferencePlacement;
    private TaskRequest task;
    private RandomGenerator random;

    /** Builds a cluster in which each host runs tasks of six kinds. */
    @Setup
    public void setUp() {
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        LearnedSlowdown learned = LearnedSlowdown.create();
        List<HostView> views = new ArrayList<>();
        for (int index = 0; index < hosts; index++) {
            List<KindLoad> kinds = new ArrayList<>();
            for (int kind = 0; kind < KINDS.size(); kind++) {
                kinds.add(new KindLoad(KINDS.get(kind), kind == 0, 2, 500 + random.nextInt(2_000)));
            }
            learned.observe(KINDS.get(0), kinds, 16_000, 1.3, 0);
            Resources reserved = full ? HOST : HOST.scaled(0.5 + 0.4 * random.nextDouble());
            HostId id = HostId.of("host-" + index);
            views.add(
                    new HostView(id, "a", "r", HostStatus.READY, HOST, reserved, kinds, 0.3, 0, 0));
        }
        cluster = ClusterView.of(views);
        interferencePlacement = InterferencePlacement.of(learned, UrgentHeadroom.none());
        task =
                new TaskRequest(
                        TaskId.of("task"),
                        JobId.of("job"),
                        AccountId.of("team"),
                        KINDS.get(3),
                        false,
                        Resources.of(1_000, 2_000, 0),
                        Optional.empty(),
                        Set.of());
    }

    /** Measures one decision of interference-aware placement. */
    @Benchmark
    public PlacementDecision placeByInterference() {
        return interferencePlacement.place(task, cluster, RuleSet.empty(), 0, random);
    }

    /** Measures one decision of best fit. */
    @Benchmark
    public PlacementDecision placeByBestFit() {
        return ScanningPlacement.bestFit().place(task, cluster, RuleSet.empty(), 0, random);
    }
}
