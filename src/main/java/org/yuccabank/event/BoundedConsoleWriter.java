package org.yuccabank.event;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writer of the logging library for standard output with a bounded queue. The library's own writing
 * thread keeps every line in memory while nobody reads the output, and does not end with the
 * process then.
 *
 * <p>Invariants: no caller waits for the output; lines beyond the queue are counted. Thread-safe.
 */
public final class BoundedConsoleWriter implements Writer {

    /** About 6 MB of lines, 10 s of the largest rate that kept requests cause. */
    private static final int MAXIMUM_LINES = 20_000;

    private static final long CLOSE_TIMEOUT_MILLIS = 500;
    private static final long CLOSE_POLL_MILLIS = 5;

    private static final BlockingQueue<String> LINES = new ArrayBlockingQueue<>(MAXIMUM_LINES);
    private static final AtomicInteger UNWRITTEN = new AtomicInteger();
    private static final LongAdder DROPPED = new LongAdder();

    private final Thread thread = new Thread(this::run, "log-writer");
    private final OutputStream output;

    /**
     * Creates the writer and starts its thread. The logging library calls it.
     *
     * @param properties configuration, not used
     */
    public BoundedConsoleWriter(Map<String, String> properties) {
        this.output = new FileOutputStream(FileDescriptor.out);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns whether a further line would be written. */
    static boolean hasRoom() {
        return LINES.remainingCapacity() > 0;
    }

    /** Returns the number of lines dropped because the queue was full. */
    static long droppedLines() {
        return DROPPED.sum();
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) {
        StringWriter text = new StringWriter();
        text.append(String.valueOf(entry.getMessage())).append('\n');
        if (entry.getException() != null) {
            entry.getException().printStackTrace(new PrintWriter(text, true));
        }
        UNWRITTEN.incrementAndGet();
        if (!LINES.offer(text.toString())) {
            UNWRITTEN.decrementAndGet();
            DROPPED.increment();
        }
    }

    @Override
    public void flush() {
        // The thread writes each line at once.
    }

    /** Waits a short time for the queued lines. The thread keeps running for later ones. */
    @Override
    public void close() {
        awaitWritten();
    }

    /** Waits until the queued lines are written, at most 0.5 s. */
    static void awaitWritten() {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MILLIS);
        while (UNWRITTEN.get() > 0 && System.nanoTime() < deadlineNanos) {
            try {
                TimeUnit.MILLISECONDS.sleep(CLOSE_POLL_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void run() {
        try {
            while (true) {
                output.write(LINES.take().getBytes(StandardCharsets.UTF_8));
                UNWRITTEN.decrementAndGet();
            }
        } catch (IOException exception) {
            // The reader is gone for good: the queue fills and later lines count as dropped.
            UNWRITTEN.set(0);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
