package org.yuccabank.event;

import java.util.Objects;
import org.tinylog.Logger;

/** Writes numbered events to the log. Safe for use by several threads. */
public final class EventLog {

    private EventLog() {}

    /**
     * Logs an event of normal operation.
     *
     * @param event the event
     * @param details alternating names and values, such as {@code "host", "host-1"}
     */
    public static void information(Event event, Object... details) {
        Logger.info(() -> format(event, details));
    }

    /**
     * Logs an event that an operator should look at.
     *
     * @param event the event
     * @param details alternating names and values
     */
    public static void warning(Event event, Object... details) {
        Logger.warn(() -> format(event, details));
    }

    /**
     * Logs an event that stops a part of the system.
     *
     * @param event the event
     * @param cause the exception behind it
     * @param details alternating names and values
     */
    public static void error(Event event, Throwable cause, Object... details) {
        Logger.error(cause, format(event, details));
    }

    static String format(Event event, Object... details) {
        Objects.requireNonNull(event, "event is null");
        StringBuilder text = new StringBuilder("YB-").append(event.number());
        text.append(' ').append(event.name());
        for (int index = 0; index + 1 < details.length; index += 2) {
            text.append(' ').append(details[index]).append('=').append(details[index + 1]);
        }
        return text.toString();
    }
}
