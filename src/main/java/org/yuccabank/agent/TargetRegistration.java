package org.yuccabank.agent;

import java.util.Optional;
import org.yuccabank.protocol.generated.TargetState;

/**
 * The registration of the local target with this agent.
 *
 * <p>A target that withdrew, or whose announcement was not repeated within {@link
 * #ANNOUNCEMENT_TTL_MILLIS}, is reported as leaving until it announces itself again. Not
 * thread-safe.
 */
final class TargetRegistration {

    /** Time for which an announcement is valid. */
    static final long ANNOUNCEMENT_TTL_MILLIS = 10_000;

    // Weight of the newest service time in the exponentially weighted moving average.
    private static final double SERVICE_TIME_EWMA_WEIGHT = 0.1;

    private Announcement announcement;
    private boolean leaving;
    private long announcedAtMillis;
    private double serviceTimeMicros;

    /** Records an announcement and returns whether it changed the registration. */
    boolean announce(Announcement received, long nowMillis) {
        boolean changed = leaving || !received.equals(announcement);
        announcement = received;
        announcedAtMillis = nowMillis;
        leaving = false;
        return changed;
    }

    /** Withdraws the target and returns whether it was registered. */
    boolean withdraw() {
        boolean changed = announcement != null && !leaving;
        leaving = true;
        return changed;
    }

    /** Withdraws a target whose announcement has expired and returns whether it did so. */
    boolean expire(long nowMillis) {
        return nowMillis - announcedAtMillis >= ANNOUNCEMENT_TTL_MILLIS && withdraw();
    }

    boolean isServing() {
        return announcement != null && !leaving;
    }

    boolean serves(String kind) {
        return announcement.kinds().isEmpty() || announcement.kinds().contains(kind);
    }

    String targetId() {
        return announcement == null ? "" : announcement.targetId();
    }

    void recordServiceTime(long micros) {
        serviceTimeMicros =
                serviceTimeMicros == 0
                        ? micros
                        : serviceTimeMicros
                                + SERVICE_TIME_EWMA_WEIGHT * (micros - serviceTimeMicros);
    }

    long serviceTimeMicros() {
        return (long) serviceTimeMicros;
    }

    Optional<TargetState> toMessage(int slotsUsed, boolean draining) {
        if (announcement == null) {
            return Optional.empty();
        }
        return Optional.of(
                TargetState.newBuilder()
                        .setTargetId(announcement.targetId())
                        .setService(announcement.service())
                        .addAllKinds(announcement.kinds())
                        .setSlots(announcement.slots())
                        .setConnections(announcement.connections())
                        .setSlotsUsed(slotsUsed)
                        .setLeaving(leaving || draining)
                        .setServiceTimeMicros(serviceTimeMicros())
                        .build());
    }
}
