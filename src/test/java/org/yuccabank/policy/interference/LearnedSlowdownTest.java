package org.yuccabank.policy.interference;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;
import org.yuccabank.model.WorkKind;
import org.yuccabank.policy.placement.KindLoad;

/** Tests that slowdowns are learned and that unknown kinds are assumed to be harmful. */
public final class LearnedSlowdownTest {

    private static final WorkKind PREVIEW = WorkKind.of("preview");
    private static final WorkKind ENCODE = WorkKind.of("encode");
    private static final WorkKind RENDER = WorkKind.of("render");
    private static final long CAPACITY = 16_000;

    private static List<KindLoad> load(long encode, long render) {
        return List.of(
                new KindLoad(PREVIEW, true, 1, 2_000),
                new KindLoad(ENCODE, false, 1, encode),
                new KindLoad(RENDER, false, 1, render));
    }

    /**
     * Guards against attributing a slowdown to the wrong kind, and against trusting unknown kinds.
     */
    @Test
    public void shouldDistinguishHarmfulFromHarmlessKind() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(3);
        LearnedSlowdown model = LearnedSlowdown.create();
        double unknown = model.slowdown(PREVIEW, load(4_000, 0), PREVIEW, 0, CAPACITY);
        for (int report = 0; report < 500; report++) {
            long encode = random.nextInt(6_000);
            long render = random.nextInt(6_000);
            double expected = 1 + 0.15 * encode / 1000 + 0.01 * render / 1000;
            double measured = expected + 0.1 * random.nextGaussian();
            model.observe(PREVIEW, load(encode, render), CAPACITY, measured, report * 1000L);
        }
        double encode = model.slowdown(PREVIEW, load(4_000, 0), PREVIEW, 0, CAPACITY);
        double render = model.slowdown(PREVIEW, load(0, 4_000), PREVIEW, 0, CAPACITY);
        assertTrue(unknown > 1.2, "unknown kind expected at " + unknown);
        assertEquals(encode, 1.6, 0.15);
        assertEquals(render, 1.04, 0.1);
        assertTrue(model.deviation(PREVIEW, load(4_000, 0), CAPACITY) < 0.1);
    }

    /** Guards against matching a report with the load at the time of its arrival. */
    @Test
    public void shouldReturnLoadAtTimeOfMeasurement() {
        LoadHistory history = LoadHistory.create();
        history.add(1_000, load(1_000, 0));
        history.add(2_000, load(0, 5_000));
        assertEquals(history.at(1_500, 1_000), Optional.of(load(1_000, 0)));
        assertEquals(history.at(500, 1_000), Optional.empty());
        assertEquals(history.at(9_000, 1_000), Optional.empty());
    }
}
