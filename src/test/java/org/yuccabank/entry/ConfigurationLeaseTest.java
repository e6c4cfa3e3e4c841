package org.yuccabank.entry;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.yuccabank.entry.ConfigurationLease.Moment;

/** Tests when an entry counts its rules as current. */
public final class ConfigurationLeaseTest {

    private static final long DURATION_MILLIS = 3_000;

    private static boolean isValidAfter(long steadyMillis, long wallMillis) {
        ConfigurationLease lease = new ConfigurationLease(DURATION_MILLIS);
        lease.start(new Moment(100, 1_000_000));
        return lease.isValid(new Moment(100 + steadyMillis, 1_000_000 + wallMillis));
    }

    /** Guards against a lease that ends early or is valid before the first confirmation. */
    @Test
    public void shouldBeValidForItsDuration() {
        assertTrue(isValidAfter(DURATION_MILLIS, DURATION_MILLIS));
        assertFalse(isValidAfter(DURATION_MILLIS + 1, DURATION_MILLIS + 1));
        assertFalse(new ConfigurationLease(DURATION_MILLIS).isValid(new Moment(0, 0)));
    }

    /** Guards against old rules that stay in force because a clock stood still or was stepped. */
    @Test
    public void shouldNotBeValidWhenClocksDiverge() {
        assertFalse(isValidAfter(10_000, -50_000), "stepped back by a minute");
        assertFalse(isValidAfter(1_000, 60_000), "suspended for 59 s");
        assertFalse(isValidAfter(1_000, 2_500), "suspended for 1.5 s");
    }
}
