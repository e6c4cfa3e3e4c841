package org.yuccabank.replication;

import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;

/** Receives the log events of a replica. */
@FunctionalInterface
public interface ReplicaEventListener {

    /**
     * Reports an event.
     *
     * @param event the event
     * @param details alternating names and values
     */
    void onEvent(Event event, Object... details);

    /**
     * Writes events to the log of the process.
     *
     * @return the receiver
     */
    static ReplicaEventListener logging() {
        return (event, details) -> {
            switch (event) {
                case DISK_FAILED, LOG_CORRUPT, LOG_TAIL_TRUNCATED, INTERNAL_ERROR ->
                        EventLog.warning(event, details);
                default -> EventLog.information(event, details);
            }
        };
    }
}
