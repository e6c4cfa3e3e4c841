package org.yuccabank.control.workflow;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.WorkerIdentity;

/** Tests which crashes are taken to have a cause in common. */
public final class CrashGroupsTest {

    private final WorkerIdentity first = worker("host-1");
    private final WorkerIdentity second = worker("host-2");
    private final WorkerIdentity third = worker("host-3");
    private final WorkerIdentity fourth = worker("host-4");

    private static WorkerIdentity worker(String hostId) {
        return WorkerIdentity.newBuilder().setHostId(hostId).setWorkerId(hostId).build();
    }

    /** Guards against accusing tasks of crashes that their agents notice one after the other. */
    @Test
    public void shouldShareCrashesThatAreNoticedWithinTheWindow() {
        CrashGroups groups = new CrashGroups();
        groups.record(first, 4_824, false);
        groups.record(second, 5_110, false);
        assertTrue(groups.isUndecided(first, 5_800));
        assertFalse(groups.isShared(first));
        groups.record(third, 5_579, false);
        assertFalse(groups.isUndecided(first, 5_824));
        assertTrue(groups.isShared(first));
        assertTrue(groups.isShared(third));
    }

    /** Guards against excusing a task because another worker crashes about the same time. */
    @Test
    public void shouldNotShareCrashesOfTwoWorkersUnlessTheyCoincide() {
        CrashGroups groups = new CrashGroups();
        groups.record(first, 10_000, false);
        groups.record(second, 10_400, false);
        assertFalse(groups.isShared(first));
        groups.record(third, 20_000, false);
        groups.record(fourth, 20_100, false);
        assertTrue(groups.isShared(third));
    }

    /** Guards against culprits that excuse each other. */
    @Test
    public void shouldNotCountWorkersThatHadStartedSuspects() {
        CrashGroups groups = new CrashGroups();
        groups.record(first, 10_000, true);
        groups.record(second, 10_000, true);
        groups.record(third, 10_000, true);
        groups.record(fourth, 10_000, true);
        assertFalse(groups.isShared(first));
    }

    /** Guards against accusing a suspect of the crash of a whole data centre. */
    @Test
    public void shouldShareCrashOfWorkerThatHadStartedSuspect() {
        CrashGroups groups = new CrashGroups();
        groups.record(first, 10_000, true);
        groups.record(second, 10_400, false);
        groups.record(third, 10_500, false);
        assertFalse(groups.isShared(first));
        groups.record(fourth, 10_900, false);
        assertTrue(groups.isShared(first));
    }

    /** Guards against counting workers that were only slow to answer. */
    @Test
    public void shouldNotCountWorkersThatAnswerAgain() {
        CrashGroups groups = new CrashGroups();
        groups.record(first, 10_000, false);
        groups.record(second, 10_300, false);
        groups.record(third, 10_300, false);
        groups.withdraw(second);
        assertFalse(groups.isShared(first));
    }

    /** Guards against a worker that flaps and excuses the tasks that crash other workers. */
    @Test
    public void shouldNotCountWorkersThatFlap() {
        CrashGroups groups = new CrashGroups();
        groups.record(first.toBuilder().setBornMillis(1).build(), 9_000, false);
        groups.record(first.toBuilder().setBornMillis(2).build(), 10_400, false);
        groups.record(second, 10_450, false);
        assertFalse(groups.isShared(second));
    }
}
