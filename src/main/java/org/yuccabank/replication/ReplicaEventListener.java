package org.yuccabank.replication;

import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;

/** Listener for the log events of a replica. */
@FunctionalInterface
public interface ReplicaEventListener {

    /**
     * Called when an event occurs.
     *
     * @param event the event
     * @param details alternating attribute names and values
     */
    void onEvent(Event event, Object... details);

    /**
     * Returns a listener that writes events to the event log of the process.
     *
     * @return the listener
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
