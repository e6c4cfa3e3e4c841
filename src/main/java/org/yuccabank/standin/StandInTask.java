package org.yuccabank.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import org.yuccabank.model.Resources;

/** Task of a stand-in worker. Mutable; guarded by the lock of its worker. */
final class StandInTask {

    // Speed of a throttled task relative to its normal speed.
    private static final double THROTTLED_SPEED = 0.3;

    /** Task phases with their names in the worker interface. */
    enum Phase {
        RUNNING("running"),
        STOPPED("stopped"),
        FINISHED("finished"),
        FAILED("failed");

        final String label;

        Phase(String label) {
            this.label = label;
        }
    }

    final String id;
    final long token;
    final String kind;
    final Resources reservation;
    final long runTimeMillis;
    Phase phase = Phase.RUNNING;
    long leaseUntilMillis;
    long checkpointGeneration;
    double progress;
    boolean throttled;
    long advancedAtMillis;
    long endedAtMillis;

    StandInTask(String id, StartTaskRequest request, long nowMillis) {
        this.id = id;
        this.token = request.token();
        this.kind = request.kind();
        this.reservation = request.reservation();
        this.runTimeMillis = Math.max(1, request.runTimeMillis());
        this.leaseUntilMillis = request.leaseUntilMillis();
        this.checkpointGeneration = request.generation();
        this.advancedAtMillis = nowMillis;
    }

    /** Advances the progress of the task to a time. */
    void advanceTo(long nowMillis, double slowdown) {
        long elapsed = Math.max(0, nowMillis - advancedAtMillis);
        double speed = (throttled ? THROTTLED_SPEED : 1) / (1 + slowdown);
        progress = Math.min(1, progress + elapsed * speed / runTimeMillis);
        advancedAtMillis = nowMillis;
    }

    boolean isRunning() {
        return phase == Phase.RUNNING;
    }

    void end(Phase newPhase, long nowMillis) {
        phase = newPhase;
        endedAtMillis = nowMillis;
    }

    Resources usage() {
        return isRunning() ? reservation.scaled(throttled ? THROTTLED_SPEED : 1) : Resources.none();
    }

    Map<String, Object> toJson() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("id", id);
        json.put("token", token);
        json.put("kind", kind);
        json.put("phase", phase.label);
        json.put("reservation", reservation);
        json.put("leaseUntilMillis", leaseUntilMillis);
        json.put("checkpoint", checkpointGeneration);
        json.put("progress", progress);
        json.put("usage", usage());
        json.put("throttled", throttled);
        return json;
    }
}
