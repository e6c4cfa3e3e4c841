package org.yuccabank.event;

/**
 * Numbered log events. The numbers are stable: a number is never given to another event. The
 * catalogue in {@code docs/events.md} says what each one means and what to do.
 *
 * <p>Ranges: 1xx processes, 2xx connections, 3xx replication and storage, 4xx configuration, 5xx
 * requests and claims, 6xx tasks and leases, 7xx membership, 8xx security.
 */
public enum Event {
    /** A role started. */
    ROLE_STARTED(100),
    /** A role stopped. */
    ROLE_STOPPED(101),
    /** A role stops admitting and finishes its work in progress. */
    ROLE_DRAINING(102),
    /** The drain time ended with work still in progress. */
    DRAIN_TIMEOUT(103),
    /** An unexpected exception was caught at the edge of a service. */
    INTERNAL_ERROR(104),
    /** Changed settings are in force. */
    SETTINGS_RELOADED(105),
    /** Changed settings are not valid and change nothing. */
    SETTINGS_REFUSED(106),
    /** A connection was opened. */
    CONNECTION_OPENED(200),
    /** A connection ended. */
    CONNECTION_CLOSED(201),
    /** A connection was closed because its peer was silent. */
    CONNECTION_SILENT(202),
    /** A frame could not be decoded. */
    FRAME_REFUSED(203),
    /** A replica became leader. */
    LEADER_ELECTED(300),
    /** A replica is no longer leader. */
    LEADER_STEPPED_DOWN(301),
    /** A replica stopped because its disk failed or is full. */
    DISK_FAILED(302),
    /** An incomplete last record was cut off. */
    LOG_TAIL_TRUNCATED(303),
    /** The log is corrupt before its tail; the replica stops. */
    LOG_CORRUPT(304),
    /** A snapshot was written or installed. */
    SNAPSHOT_SAVED(305),
    /** The membership of a control group changed. */
    MEMBERSHIP_CHANGED(306),
    /** A configuration version is in force in this process. */
    CONFIGURATION_APPLIED(400),
    /** A configuration was refused. */
    CONFIGURATION_REFUSED(401),
    /** The configuration lease ended without contact to control. */
    CONFIGURATION_LEASE_ENDED(402),
    /** A request was refused before dispatch. */
    REQUEST_REFUSED(500),
    /** An answer came after its deadline. */
    REQUEST_LATE(501),
    /** The outcome of a request is unknown. */
    OUTCOME_UNKNOWN(502),
    /** A lease was granted. */
    LEASE_GRANTED(600),
    /** A lease ended without renewal. */
    LEASE_EXPIRED(601),
    /** A task was stopped for the benefit of urgent work. */
    TASK_EVICTED(602),
    /** A job was refused or parked. */
    JOB_PARKED(603),
    /** A task failed. */
    TASK_FAILED(604),
    /** A workflow is accepted. */
    WORKFLOW_ACCEPTED(610),
    /** A run of a task was assigned to a worker. */
    RUN_ASSIGNED(611),
    /** A run ended other than done. */
    RUN_ENDED(612),
    /** A worker refused an order or gave no answer to it. */
    ORDER_UNSETTLED(613),
    /** The speed of the filling tasks of a worker changed. */
    FILLING_PACED(614),
    /** A run stands still or is too slow, and starts again elsewhere. */
    RUN_RESTARTED(615),
    /** A host announced itself. */
    HOST_JOINED(700),
    /** A host has not reported for the suspicion time. */
    HOST_SUSPECT(701),
    /** A host is taken for dead. */
    HOST_DEAD(702),
    /** A target announced itself. */
    TARGET_ANNOUNCED(703),
    /** A target is leaving. */
    TARGET_LEAVING(704),
    /** A host gets only probes because everything it starts fails. */
    HOST_QUARANTINED(705),
    /** A worker was silent for its whole lease; its tasks are placed again. */
    WORKER_LOST(706),
    /** A worker started anew; the runs of its former incarnation are over. */
    WORKER_REPLACED(707),
    /** The list of what a worker runs is not to be had. */
    WORKER_UNREACHABLE(708),
    /** A credential was refused. */
    CREDENTIAL_REFUSED(800),
    /** Keys were loaded again. */
    KEYS_RELOADED(801),
    /** Security is off by setting. */
    SECURITY_OFF(802);

    private final int number;

    Event(int number) {
        this.number = number;
    }

    /**
     * Stable number of the event.
     *
     * @return the number
     */
    public int number() {
        return number;
    }
}
