package org.yuccabank.event;

/** Formats an event as one log line. Implementations are immutable. */
@FunctionalInterface
interface EventFormat {

    /**
     * Formats an event.
     *
     * @param event the event
     * @param suppressed number of lines of this event suppressed since its previous line
     * @param details alternating names and values
     * @return the log line
     */
    String format(Event event, long suppressed, Object... details);

    /** Returns the human-readable format, such as {@code YB-601 LEASE_EXPIRED task=t-1}. */
    static EventFormat text() {
        return (event, suppressed, details) -> {
            StringBuilder text = new StringBuilder("YB-").append(event.number());
            text.append(' ').append(event.name());
            for (int index = 0; index + 1 < details.length; index += 2) {
                text.append(' ').append(details[index]).append('=').append(details[index + 1]);
            }
            return suppressed == 0
                    ? text.toString()
                    : text.append(" leftOut=").append(suppressed).toString();
        };
    }
}
