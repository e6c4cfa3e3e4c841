package org.yuccabank.state.workflow;

import java.util.List;
import org.yuccabank.state.generated.CountedCrash;

/**
 * Decides from the crashes under a task whether it is the cause. A worker that crashes on its own
 * crashes again and again, but always itself; a task that crashes its workers crashes workers that
 * do not crash without it. The decision is deterministic. Stateless.
 */
final class CrashVerdict {

    /** Different workers that must have crashed if one of them has crashed under this task only. */
    private static final int CERTAIN_HOSTS = 2;

    /** Crashes after which a task is given up on weaker evidence, which bounds its starts. */
    private static final int MAXIMUM_CRASHES = 3;

    private CrashVerdict() {}

    /**
     * Returns whether a task crashes its workers: two different workers have crashed after its
     * certain start, and one of them with no other suspect and without other crashes; or there are
     * three crashes, either of different workers or twice with no other suspect.
     */
    static boolean isCause(List<CountedCrash> crashes) {
        boolean proven =
                crashes.stream()
                        .anyMatch(
                                each ->
                                        each.getSoleSuspect()
                                                && !each.getUncertainStart()
                                                && each.getOtherWorkerCrashes() == 0);
        if (proven
                && hosts(crashes.stream().filter(each -> !each.getUncertainStart()).toList())
                        >= CERTAIN_HOSTS) {
            return true;
        }
        long sole = crashes.stream().filter(CountedCrash::getSoleSuspect).count();
        return crashes.size() >= MAXIMUM_CRASHES
                && (hosts(crashes) >= MAXIMUM_CRASHES || sole >= MAXIMUM_CRASHES - 1);
    }

    private static long hosts(List<CountedCrash> crashes) {
        return crashes.stream().map(CountedCrash::getHostId).distinct().count();
    }
}
