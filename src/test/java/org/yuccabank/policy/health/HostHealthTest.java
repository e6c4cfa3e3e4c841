package org.yuccabank.policy.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.yuccabank.model.HostId;
import org.yuccabank.model.JobId;
import org.yuccabank.policy.placement.HostStatus;

/** Tests that failures are attributed to the host or to the job. */
public final class HostHealthTest {

    private static final HostId FAULTY_HOST = HostId.of("bad");

    private static JobId job(int number) {
        return JobId.of("job-" + number);
    }

    /** Guards against a faulty host that fails every task and thereby drains the queue. */
    @Test
    public void shouldQuarantineHostThatFailsDistinctJobsAndProbeItLater() {
        HostHealth health = HostHealth.create();
        health.failed(FAULTY_HOST, job(1), 0);
        health.failed(FAULTY_HOST, job(2), 0);
        assertEquals(health.status(FAULTY_HOST, 1), HostStatus.DRAINING);
        assertEquals(health.status(FAULTY_HOST, 10_000), HostStatus.PROBE);
        assertFalse(health.isParked(job(1)));
        health.succeeded(FAULTY_HOST, job(3));
        assertEquals(health.status(FAULTY_HOST, 10_001), HostStatus.READY);
    }

    /** Guards against quarantining healthy hosts because of one faulty job. */
    @Test
    public void shouldParkJobThatFailsEverywhereAndKeepHosts() {
        HostHealth health = HostHealth.create();
        for (int host = 0; host < 3; host++) {
            health.failed(HostId.of("host-" + host), job(1), 0);
        }
        assertTrue(health.isParked(job(1)));
        for (int host = 0; host < 3; host++) {
            assertTrue(health.status(HostId.of("host-" + host), 1).acceptsWork());
        }
    }
}
