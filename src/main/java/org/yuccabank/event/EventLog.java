package org.yuccabank.event;

import java.time.InstantSource;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/** Writes numbered events to the log at a limited rate. Thread-safe. */
public final class EventLog {

    /**
     * Limits a burst of one event to about 30 KB per second, so that small hosts are not
     * overloaded.
     */
    private static final int LINES_PER_SECOND = 200;

    private static final EventRateLimiter RATE_LIMITER = new EventRateLimiter(LINES_PER_SECOND);
    private static volatile EventFormat format = EventFormat.text();

    private EventLog() {}

    /**
     * Switches the log to one JSON object per line on standard output, written by a thread of the
     * logging library. Must be called before the first event.
     *
     * @param process name of the process, included in each line
     */
    public static void useJson(String process) {
        Configuration.set("writer", "console");
        Configuration.set("writer.stream", "out");
        Configuration.set("writer.format", "{message}");
        Configuration.set("writingthread", "true");
        format = new JsonEventFormat(process, InstantSource.system());
    }

    /**
     * Logs an event of normal operation.
     *
     * @param event the event
     * @param details alternating names and values, such as {@code "host", "host-1"}
     */
    public static void information(Event event, Object... details) {
        OptionalLong suppressed = admit(event);
        if (suppressed.isPresent()) {
            Logger.info(() -> format.format(event, suppressed.getAsLong(), details));
        }
    }

    /**
     * Logs an event that needs the attention of an operator.
     *
     * @param event the event
     * @param details alternating names and values
     */
    public static void warning(Event event, Object... details) {
        OptionalLong suppressed = admit(event);
        if (suppressed.isPresent()) {
            Logger.warn(() -> format.format(event, suppressed.getAsLong(), details));
        }
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

    private static OptionalLong admit(Event event) {
        Objects.requireNonNull(event, "event is null");
        return RATE_LIMITER.admit(event, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    static String format(Event event, Object... details) {
        Objects.requireNonNull(event, "event is null");
        return EventFormat.text().format(event, 0, details);
    }
}
