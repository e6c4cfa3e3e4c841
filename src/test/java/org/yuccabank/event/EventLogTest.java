package org.yuccabank.event;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.time.InstantSource;
import org.testng.annotations.Test;

/** Tests the JSON format and the rate limit of the log. */
public final class EventLogTest {

    /**
     * Guards against log lines that are not valid JSON, such as after quotes or line breaks in
     * values.
     */
    @Test
    public void shouldWriteOneObjectPerLine() {
        JsonEventFormat format =
                new JsonEventFormat("p-1", InstantSource.fixed(Instant.ofEpochMilli(0)));
        String line = format.format(Event.RUN_ENDED, 3, "run", "a\"\n#1", "attempt", 2);
        assertEquals(
                line,
                "{\"time\":\"1970-01-01T00:00:00Z\",\"process\":\"p-1\",\"number\":612,"
                        + "\"event\":\"RUN_ENDED\",\"run\":\"a\\\"\\n#1\",\"attempt\":2,"
                        + "\"leftOut\":3}");
    }

    /** Guards against a burst of one event that fills the disk or suppresses other events. */
    @Test
    public void shouldBoundLinesOfEachEventAndCountTheRest() {
        EventRateLimiter rateLimiter = new EventRateLimiter(2);
        assertTrue(rateLimiter.admit(Event.RUN_ENDED, 0).isPresent());
        assertTrue(rateLimiter.admit(Event.RUN_ENDED, 1).isPresent());
        assertTrue(rateLimiter.admit(Event.RUN_ENDED, 2).isEmpty());
        assertTrue(rateLimiter.admit(Event.RUN_ENDED, 3).isEmpty());
        assertTrue(rateLimiter.admit(Event.RUN_ASSIGNED, 3).isPresent());
        assertEquals(rateLimiter.admit(Event.RUN_ENDED, 1_000).orElseThrow(), 2);
    }
}
