package org.yuccabank.event;

/**
 * Numbered log events. The numbers are stable and never reused. {@code docs/events.md} documents
 * the meaning of each event and the action for operators.
 *
 * <p>Ranges: 1xx processes, 2xx connections, 3xx replication and storage, 4xx configuration, 5xx
 * requests and claims, 6xx tasks and leases, 7xx membership, 8xx security.
 */
public enum Event {
    /** A role started. */
    ROLE_STARTED(100),
    /** A role stopped. */
    ROLE_STOPPED(101),
    /** A role stopped admitting work and completes its work in progress. */
    ROLE_DRAINING(102),
    /** The drain timeout expired with work still in progress. */
    DRAIN_TIMEOUT(103),
    /** An unexpected exception was caught at a service boundary. */
    INTERNAL_ERROR(104),
    /** Changed settings were applied. */
    SETTINGS_RELOADED(105),
    /** Changed settings were not valid and were ignored. */
    SETTINGS_REFUSED(106),
    /** A connection was opened. */
    CONNECTION_OPENED(200),
    /** A connection was closed. */
    CONNECTION_CLOSED(201),
    /** A connection was closed because its peer was inactive. */
    CONNECTION_SILENT(202),
    /** A frame could not be decoded. */
    FRAME_REFUSED(203),
    /** A replica became leader. */
    LEADER_ELECTED(300),
    /** A leader stepped down. */
    LEADER_STEPPED_DOWN(301),
    /** The disk of a replica failed or is full; the replica stops and is opened again. */
    DISK_FAILED(302),
    /** An incomplete record at the end of the log was truncated. */
    LOG_TAIL_TRUNCATED(303),
    /** The durable state is corrupt; the replica stops and is opened again. */
    LOG_CORRUPT(304),
    /** A snapshot was written or installed. */
    SNAPSHOT_SAVED(305),
    /** The membership of a control group changed. */
    MEMBERSHIP_CHANGED(306),
    /** A replica that had stopped because of a failure was opened again. */
    REPLICA_REOPENED(307),
    /** A configuration version was applied in this process. */
    CONFIGURATION_APPLIED(400),
    /** A configuration was refused. */
    CONFIGURATION_REFUSED(401),
    /** The configuration lease expired without contact to control. */
    CONFIGURATION_LEASE_ENDED(402),
    /** A request was refused before dispatch. */
    REQUEST_REFUSED(500),
    /** A response was received after its deadline. */
    REQUEST_LATE(501),
    /** The outcome of a request is unknown. */
    OUTCOME_UNKNOWN(502),
    /** A lease was granted. */
    LEASE_GRANTED(600),
    /** A lease expired without renewal. */
    LEASE_EXPIRED(601),
    /** A task was evicted in favour of urgent work. */
    TASK_EVICTED(602),
    /** A job was refused or parked. */
    JOB_PARKED(603),
    /** A task failed. */
    TASK_FAILED(604),
    /** A workflow was accepted. */
    WORKFLOW_ACCEPTED(610),
    /** A run of a task was assigned to a worker. */
    RUN_ASSIGNED(611),
    /** A run ended in a state other than done. */
    RUN_ENDED(612),
    /** A worker rejected a command or did not respond to it. */
    ORDER_UNSETTLED(613),
    /** The speed of the best-effort tasks of a worker changed. */
    FILLING_PACED(614),
    /** A run without sufficient progress is restarted on another worker. */
    RUN_RESTARTED(615),
    /** A leader continues with the pressures and run times that another leader has learned. */
    LEARNED_STATE_RESTORED(616),
    /**
     * Best-effort tasks wait because many serving tasks are without a worker, or no longer wait.
     */
    BEST_EFFORT_HELD(617),
    /** A workflow has failed because one of its tasks crashes its workers. */
    WORKFLOW_GIVEN_UP(618),
    /** An agent sends the start of a run to its worker. */
    START_SENT(619),
    /** The start of a run was answered, refused or not answered. */
    START_ANSWERED(620),
    /** An agent sends the stop of a run to its worker. */
    STOP_SENT(621),
    /** The stop of a run was answered, refused or not answered. */
    STOP_ANSWERED(622),
    /** A list of the worker that was requested after a confirmed stop does not contain the run. */
    ABSENCE_CONFIRMED(623),
    /** An agent found a run without knowing its definition. */
    RUN_DISCOVERED(624),
    /** A worker has listed the end of a run. */
    END_LISTED(625),
    /** A new incarnation of the worker started; the agent drops a run of the previous one. */
    RUN_DROPPED(626),
    /** An agent promises that a worker that does not answer runs nothing after a time. */
    LEASE_END_PROMISED(627),
    /** A grant of the leader has ended the promise of a lease end. */
    LEASE_GRANT_RESUMED(628),
    /** A list contains neither a run that has started nor its end. */
    END_MISSING(629),
    /** A worker has discarded ends before any list contained them. */
    ENDS_DISCARDED(630),
    /** An incarnation has started a run on a call that was meant for a former one. */
    FORMER_START_EXECUTED(631),
    /** A worker has listed the end of a run that the leader has ended otherwise. */
    END_SUPERSEDED(632),
    /** An acknowledgement of ends was not answered by the incarnation that it was meant for. */
    ACKNOWLEDGEMENT_UNSETTLED(633),
    /** A host announced itself. */
    HOST_JOINED(700),
    /** A host has not reported for the suspicion timeout. */
    HOST_SUSPECT(701),
    /** A host was declared dead. */
    HOST_DEAD(702),
    /** A target announced itself. */
    TARGET_ANNOUNCED(703),
    /** A target is leaving. */
    TARGET_LEAVING(704),
    /** A host is assigned only probes because all work started on it fails. */
    HOST_QUARANTINED(705),
    /** The lease of a worker expired without a report; its tasks are rescheduled. */
    WORKER_LOST(706),
    /** A worker restarted; the runs of its previous incarnation have ended. */
    WORKER_REPLACED(707),
    /** The list of runs of a worker cannot be retrieved. */
    WORKER_UNREACHABLE(708),
    /** A worker crashed; the runs that it had started last are suspected of the cause. */
    WORKER_CRASHED(709),
    /** An announcement was refused because the worker is not the incarnation that it names. */
    ANNOUNCEMENT_REFUSED(710),
    /** A credential was rejected. */
    CREDENTIAL_REFUSED(800),
    /** A reload of changed keys completed or failed, as its result states. */
    KEYS_RELOADED(801),
    /** Security is disabled in the settings. */
    SECURITY_OFF(802);

    private final int number;

    Event(int number) {
        this.number = number;
    }

    /**
     * Returns the stable number of the event.
     *
     * @return the number
     */
    public int number() {
        return number;
    }
}
