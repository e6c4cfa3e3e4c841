package org.yuccabank.event;

import java.time.InstantSource;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/** Writes numbered events to the log. Safe for use by several threads. */
public final class EventLog {

    /** A burst of one event may not take more of a small host than about 30 KB a second. */
    private static final int LINES_PER_SECOND = 200;

    private static final EventRateLimiter RATE_LIMITER = new EventRateLimiter(LINES_PER_SECOND);
    private static volatile EventFormat format = EventFormat.text();

    private EventLog() {}

    /**
     * Writes one JSON object a line to standard output from now on, by a thread of the logging
     * library. Has to be called before the first event.
     *
     * @param process name of the process, written into each line
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
     * Logs an event that an operator should look at.
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
     * Logs a failure of the program itself.
     *
     * @param event the event
     * @param cause what was thrown
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
