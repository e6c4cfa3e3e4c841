package org.yuccabank.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * What the stand-in workers of a soak have done, and the faults that it shows: a task that ran
 * twice, and ends that were discarded although no list contained them. Thread-safe.
 */
final class SoakRecord {

    /** End of a run on a worker that was down or went down. */
    static final String LOST_WITH_WORKER = "lost";

    private final long startNanos = System.nanoTime();
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Set<Long>> listedNumbers = new HashMap<>();
    private final Set<String> unseenAcknowledgements = new TreeSet<>();
    private final List<String> lines = new ArrayList<>();

    /** A run on one lifetime of a worker. Guarded by the record. */
    static final class Run {
        private final String task;
        private final long attempt;
        private final String lifetime;
        private final String origin;
        private final long startMillis;
        private long endMillis = Long.MAX_VALUE;
        private String ending = "";
        private long acknowledgedMillis = Long.MAX_VALUE;
        private boolean lapsedBeforeAcknowledgement;

        private Run(String task, long attempt, String lifetime, String origin, long startMillis) {
            this.task = task;
            this.attempt = attempt;
            this.lifetime = lifetime;
            this.origin = origin;
            this.startMillis = startMillis;
        }

        private boolean overlaps(Run other) {
            return startMillis < other.endMillis && other.startMillis < endMillis;
        }

        private boolean isAcknowledgedAsDone() {
            return ending.equals("done")
                    && acknowledgedMillis < Long.MAX_VALUE
                    && !lapsedBeforeAcknowledgement;
        }

        @Override
        public String toString() {
            return String.format(
                    "%s#%d on %s (%s) %d..%d %s, acknowledged %d%s",
                    task,
                    attempt,
                    lifetime,
                    origin,
                    startMillis,
                    endMillis,
                    ending,
                    acknowledgedMillis,
                    lapsedBeforeAcknowledgement ? " after a lapse" : "");
        }
    }

    /** Returns the time since the start of the soak. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    synchronized void log(String text) {
        lines.add(String.format("%6d %tT.%<tL %s", millis(), System.currentTimeMillis(), text));
    }

    /** Notes a start; the origin tells how the call has reached the worker. */
    synchronized Run start(String task, long attempt, String lifetime, String origin) {
        Run run = new Run(task, attempt, lifetime, origin, millis());
        runs.add(run);
        return run;
    }

    synchronized void end(Run run, String ending) {
        run.endMillis = millis();
        run.ending = ending;
        log(run.lifetime + " ended " + run.task + "#" + run.attempt + " as " + ending);
    }

    /** Notes that the lease of a worker is over before the end of a run was acknowledged. */
    synchronized void lapse(Run run) {
        run.lapsedBeforeAcknowledgement = true;
    }

    synchronized void listed(String lifetime, long number) {
        listedNumbers.computeIfAbsent(lifetime, key -> new HashSet<>()).add(number);
    }

    synchronized void acknowledge(Run run, String lifetime, long number) {
        run.acknowledgedMillis = millis();
        if (!listedNumbers.getOrDefault(lifetime, Set.of()).contains(number)) {
            unseenAcknowledgements.add(lifetime + " end " + number + " unseen: " + run);
            log(lifetime + " discarded end " + number + " unseen: " + run);
        }
    }

    synchronized List<String> lines() {
        return List.copyOf(lines);
    }

    synchronized List<String> unseenAcknowledgements() {
        return List.copyOf(unseenAcknowledgements);
    }

    /** Returns one line for each pair of runs of which one should not have started. */
    synchronized List<String> repetitions() {
        Map<String, List<Run>> runsOfTasks = new HashMap<>();
        runs.forEach(
                run -> runsOfTasks.computeIfAbsent(run.task, key -> new ArrayList<>()).add(run));
        List<String> found = new ArrayList<>();
        for (List<Run> sameTask : runsOfTasks.values()) {
            for (int later = 1; later < sameTask.size(); later++) {
                for (Run earlier : sameTask.subList(0, later)) {
                    repetition(earlier, sameTask.get(later)).ifPresent(found::add);
                }
            }
        }
        return found;
    }

    private static Optional<String> repetition(Run earlier, Run later) {
        if (earlier.overlaps(later)) {
            return Optional.of("at the same time: " + earlier + " | " + later);
        }
        return earlier.isAcknowledgedAsDone()
                ? Optional.of("after an acknowledged end: " + earlier + " | " + later)
                : Optional.empty();
    }
}
