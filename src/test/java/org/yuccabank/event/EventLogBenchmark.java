package org.yuccabank.event;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time that a line of a request takes from the thread that logs it, see docs/bench.md
 * for the command. The output of the benchmark process is read by the benchmark harness.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class EventLogBenchmark {

    private JsonEventFormat format;

    /** Creates the format of the users' platform. */
    @Setup
    public void setUp() {
        format = new JsonEventFormat("control-1", java.time.InstantSource.system());
    }

    /** Formats a line of the length of the end of a run. */
    @Benchmark
    public String formatEnd() {
        return format.format(
                Event.RUN_ENDED,
                0,
                "run",
                "b934d7718c5c15e1.0.1.6#1",
                "ending",
                "RUN_DONE",
                "reason",
                "",
                "source",
                "worker list",
                "number",
                117L,
                "worker",
                "i-a74d651a/1764945291200",
                "term",
                3L,
                "report",
                "7c1d2e3f4a5b6c7d/42",
                "reportAgeMillis",
                3L,
                "listed",
                true);
    }

    /** Counts a line of a request that is not kept. */
    @Benchmark
    public void omit() {
        EventLog.information(RequestLines.OMITTED, Event.RUN_ENDED, "run", "w.0.1.6#1");
    }
}
