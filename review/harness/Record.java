import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The record of a script: what was sent, answered and run, with milliseconds since its start. */
final class Record {

    final List<Minion.Run> runs = new CopyOnWriteArrayList<>();
    private final long startNanos = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    synchronized void line(String text) {
        file.printf("%7d %s%n", (System.nanoTime() - startNanos) / 1_000_000, text);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Returns the breaks of TWICE: overlapping runs of a task, or a start after it was done. */
    List<String> runsTwice() {
        List<String> breaks = new ArrayList<>();
        for (Minion.Run first : runs) {
            for (Minion.Run second : runs) {
                if (first == second
                        || !first.task.equals(second.task)
                        || second.startedAt < first.startedAt
                        || (second.startedAt == first.startedAt
                                && second.attempt <= first.attempt)) {
                    continue;
                }
                if (second.startedAt < first.endedAt && !first.minion.equals(second.minion)) {
                    long until = Math.min(first.endedAt, second.endedAt);
                    breaks.add(
                            "TWICE "
                                    + first.task
                                    + ": run "
                                    + first.attempt
                                    + " on "
                                    + first.minion
                                    + " and run "
                                    + second.attempt
                                    + " on "
                                    + second.minion
                                    + " at the same time"
                                    + (until == Long.MAX_VALUE
                                            ? ""
                                            : " for " + (until - second.startedAt) + " ms"));
                } else if (first.how.equals("done")
                        && first.noted
                        && second.startedAt > first.endedAt) {
                    breaks.add(
                            "TWICE "
                                    + first.task
                                    + ": run "
                                    + second.attempt
                                    + " on "
                                    + second.minion
                                    + " began "
                                    + (second.startedAt - first.endedAt)
                                    + " ms after run "
                                    + first.attempt
                                    + " had ended as done");
                }
            }
        }
        return breaks;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
