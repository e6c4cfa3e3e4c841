package org.yuccabank.event;

import java.time.InstantSource;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.tinylog.Level;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/**
 * Writes numbered events to the log.
 *
 * <p>Invariants: lines that name a request are written or omitted as its {@link RequestLines} say,
 * with no other limit while the decision is known and the output is read; other lines are limited
 * per event and second; every suppressed line is counted. Thread-safe.
 */
public final class EventLog {

    /**
     * Limits a burst of one event to about 30 KB per second, so that small hosts are not
     * overloaded.
     */
    private static final int LINES_PER_SECOND = 200;

    /**
     * Bounds the lines of requests without a known decision, one or a few for each request that
     * fails. This is more than a process handles at ten times the load of the largest site.
     */
    private static final int UNDECIDED_LINES_PER_SECOND = 1_000;

    private static final EventRateLimiter RATE_LIMITER = new EventRateLimiter(LINES_PER_SECOND);
    private static final EventRateLimiter REQUEST_LIMITER =
            new EventRateLimiter(UNDECIDED_LINES_PER_SECOND);
    private static final EventCounts COUNTS = new EventCounts();
    private static volatile EventFormat format = EventFormat.text();

    private EventLog() {}

    /**
     * Switches the log to one JSON object per line on standard output, written by a thread of its
     * own. Lines are counted and dropped while {@link BoundedConsoleWriter} has no room. Must be
     * called before the first event.
     *
     * @param process name of the process, included in each line
     */
    public static void useJson(String process) {
        Configuration.set("writer", "bounded console");
        format = new JsonEventFormat(process, InstantSource.system());
    }

    /**
     * Logs an event of normal operation that names no request.
     *
     * @param event the event
     * @param details alternating names and values, such as {@code "host", "host-1"}
     */
    public static void information(Event event, Object... details) {
        write(Level.INFO, event, admit(event), details);
    }

    /**
     * Logs an event of normal operation that names a request.
     *
     * @param lines what happens to the lines of the request
     * @param event the event
     * @param details alternating names and values
     */
    public static void information(RequestLines lines, Event event, Object... details) {
        write(Level.INFO, event, admit(lines, event), details);
    }

    /**
     * Logs an event that names no request and needs the attention of an operator.
     *
     * @param event the event
     * @param details alternating names and values
     */
    public static void warning(Event event, Object... details) {
        write(Level.WARN, event, admit(event), details);
    }

    /**
     * Logs an event that names a request and needs the attention of an operator.
     *
     * @param lines what happens to the lines of the request
     * @param event the event
     * @param details alternating names and values
     */
    public static void warning(RequestLines lines, Event event, Object... details) {
        write(Level.WARN, event, admit(lines, event), details);
    }

    /**
     * Logs an internal error.
     *
     * @param event the event
     * @param cause the exception
     * @param details alternating names and values
     */
    public static void error(Event event, Throwable cause, Object... details) {
        OptionalLong suppressed = admit(event);
        if (suppressed.isPresent()) {
            Logger.error(cause, format.format(event, suppressed.getAsLong(), details));
        }
    }

    /**
     * Returns how often an event has occurred in this process, whether or not it was written.
     *
     * @param event the event
     * @return the number of occurrences
     */
    public static long occurrences(Event event) {
        return COUNTS.occurrences(event);
    }

    /**
     * Returns the number of lines that were counted but not written.
     *
     * @return the number of lines since the start of the process
     */
    public static long suppressedLines() {
        return COUNTS.suppressedLines() + BoundedConsoleWriter.droppedLines();
    }

    /** Waits a short time until the lines are written, for use before the process is halted. */
    public static void flush() {
        BoundedConsoleWriter.awaitWritten();
    }

    private static OptionalLong admit(Event event) {
        Objects.requireNonNull(event, "event is null");
        return COUNTS.count(event, admit(RATE_LIMITER, event));
    }

    private static OptionalLong admit(RequestLines lines, Event event) {
        Objects.requireNonNull(event, "event is null");
        return COUNTS.count(
                event,
                switch (lines) {
                    case KEPT ->
                            BoundedConsoleWriter.hasRoom()
                                    ? OptionalLong.of(REQUEST_LIMITER.takeSuppressed(event))
                                    : suppress(REQUEST_LIMITER, event);
                    case UNDECIDED -> admit(REQUEST_LIMITER, event);
                    case OMITTED -> suppress(REQUEST_LIMITER, event);
                });
    }

    private static OptionalLong admit(EventRateLimiter limiter, Event event) {
        return BoundedConsoleWriter.hasRoom()
                ? limiter.admit(event, monotonicMillis())
                : suppress(limiter, event);
    }

    private static OptionalLong suppress(EventRateLimiter limiter, Event event) {
        limiter.countSuppressed(event);
        return OptionalLong.empty();
    }

    private static void write(
            Level level, Event event, OptionalLong suppressed, Object... details) {
        if (suppressed.isEmpty()) {
            return;
        }
        String line = format.format(event, suppressed.getAsLong(), details);
        if (level == Level.WARN) {
            Logger.warn((Object) line);
        } else {
            Logger.info((Object) line);
        }
    }

    private static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    static String format(Event event, Object... details) {
        Objects.requireNonNull(event, "event is null");
        return EventFormat.text().format(event, 0, details);
    }
}
