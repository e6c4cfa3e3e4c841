package org.yuccabank.state.workflow;

import java.util.List;
import org.yuccabank.state.generated.CountedCrash;

/**
 * Decides from the crashes under a task whether it is the cause. A worker that crashes on its own
 * crashes again and again, but always itself; a task that crashes its workers crashes workers that
 * do not crash without it. Workers that go down together have a cause in common that no task is,
 * and one that is cut off has not crashed. The decision is deterministic. Stateless.
 */
final class CrashVerdict {

    /** Different workers that must have crashed if one of them has crashed under this task only. */
    private static final int CERTAIN_HOSTS = 2;

    /** Crashes after which a task is given up on weaker evidence, which bounds its starts. */
    private static final int MAXIMUM_CRASHES = 3;

    /**
     * Crashes after which a task is given up although some are no evidence, so that the starts of a
     * culprit are bounded where workers go down together all the time.
     */
    private static final int MAXIMUM_CRASHES_WITH_INCONCLUSIVE = 5;

    private CrashVerdict() {}

    /**
     * Returns whether a task crashes its workers: two different workers have crashed after its
     * certain start, and one of them with no other suspect and without other crashes; or there are
     * three crashes, either of different workers or twice with no other suspect. Inconclusive
     * crashes are no evidence: they count only towards the limits that bound the starts of the
     * task.
     */
    static boolean isCause(List<CountedCrash> crashes) {
        List<CountedCrash> conclusive =
                crashes.stream().filter(each -> !each.getInconclusive()).toList();
        return isProven(conclusive)
                || (conclusive.size() < crashes.size() && isLimitReached(crashes, conclusive));
    }

    private static boolean isLimitReached(
            List<CountedCrash> crashes, List<CountedCrash> conclusive) {
        List<CountedCrash> sole = conclusive.stream().filter(CountedCrash::getSoleSuspect).toList();
        return crashes.size() >= MAXIMUM_CRASHES_WITH_INCONCLUSIVE
                || (crashes.size() >= MAXIMUM_CRASHES && hosts(sole) >= CERTAIN_HOSTS);
    }

    private static boolean isProven(List<CountedCrash> crashes) {
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
