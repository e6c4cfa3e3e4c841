package org.yuccabank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.yuccabank.model.Resources;

/** Simulated hosts and the requests to their service instances. Not thread-safe. */
final class Fleet {

    /** Permanent reservation of the service instance on its host. */
    static final Resources SERVICE_RESERVATION = Resources.of(4_000, 8_192, 0);

    /** Mean service time of a request without slowdown. */
    static final double MEAN_SERVICE_MILLIS = 60;

    /** Standard deviation of the logarithm of the service time. */
    private static final double SERVICE_SIGMA = 0.4;

    /** A third of the request rate that the slots can serve. */
    private static final double REQUESTS_PER_SECOND_PER_INSTANCE = 45;

    private static final int INSTANCES_PER_SERVICE = 11;
    private static final int CORES_PER_HOST = 16;
    private static final int MEMORY_MEBIBYTES_PER_HOST = 60 * 1024;

    /** One of this many hosts has accelerators. */
    private static final int ACCELERATOR_SPACING = 3;

    private static final int ACCELERATORS_PER_HOST = 2;

    /** Time after which a request to a lost instance is sent again. */
    private static final double LOST_REQUEST_TIMEOUT_MILLIS = 250;

    private static final double REFUSED_REQUEST_LATENCY_MILLIS = 3_000;

    private final Example example;
    private final RunTotals totals;
    private final RequestRouter router;
    private final RandomGenerator arrivalRandom;
    private final RandomGenerator routingRandom;
    private final List<FakeHost> hosts = new ArrayList<>();
    private final List<List<FakeInstance>> services = new ArrayList<>();
    private final double[] nextArrivalMillis;

    Fleet(
            Example example,
            int workers,
            RequestRouter router,
            RunTotals totals,
            RandomGenerator arrivalRandom,
            RandomGenerator routingRandom) {
        this.example = example;
        this.router = router;
        this.totals = totals;
        this.arrivalRandom = arrivalRandom;
        this.routingRandom = routingRandom;
        for (int index = 0; index < workers; index++) {
            hosts.add(new FakeHost(index, example, capacity(index), totals));
        }
        for (int first = 0; first < workers; first += INSTANCES_PER_SERVICE) {
            int last = Math.min(workers, first + INSTANCES_PER_SERVICE);
            services.add(hosts.subList(first, last).stream().map(FakeHost::instance).toList());
        }
        nextArrivalMillis = new double[services.size()];
    }

    private static Resources capacity(int index) {
        int accelerators = index % ACCELERATOR_SPACING == 0 ? ACCELERATORS_PER_HOST : 0;
        return Resources.of(1000L * CORES_PER_HOST, MEMORY_MEBIBYTES_PER_HOST, accelerators);
    }

    List<FakeHost> hosts() {
        return hosts;
    }

    /** Advances all hosts by one step and serves the requests that arrive during it. */
    void tick(long nowMillis, long stepMillis, Load load, double elapsedFraction) {
        for (FakeHost host : hosts) {
            host.tick(nowMillis, stepMillis);
        }
        for (int service = 0; service < services.size(); service++) {
            serveRequests(
                    service,
                    nowMillis + stepMillis,
                    load.requestRateFactor(service, elapsedFraction));
        }
    }

    private void serveRequests(int service, long untilMillis, double rateFactor) {
        List<FakeInstance> instances = services.get(service);
        double meanGapMillis =
                1000 / (REQUESTS_PER_SECOND_PER_INSTANCE * rateFactor * instances.size());
        double arrivalMillis = nextArrivalMillis[service];
        while (arrivalMillis < untilMillis) {
            double serviceMillis =
                    MEAN_SERVICE_MILLIS
                            * Math.exp(
                                    SERVICE_SIGMA * arrivalRandom.nextGaussian()
                                            - SERVICE_SIGMA * SERVICE_SIGMA / 2);
            double latencyMillis = serveRequest(instances, arrivalMillis, serviceMillis);
            totals.recordRequest(
                    latencyMillis + example.networkRoundTripMillis(),
                    example.deadlineMillis(),
                    arrivalMillis);
            arrivalMillis += meanGapMillis * arrivalRandom.nextExponential();
        }
        nextArrivalMillis[service] = arrivalMillis;
    }

    private double serveRequest(
            List<FakeInstance> instances, double nowMillis, double serviceMillis) {
        double delayMillis = 0;
        for (int attempt = 0; attempt < 3; attempt++) {
            for (FakeInstance instance : instances) {
                instance.setRoutingTime(nowMillis);
            }
            int chosen = router.route(instances, (long) nowMillis, routingRandom);
            if (chosen >= 0 && !instances.get(chosen).isLost()) {
                return delayMillis + instances.get(chosen).serve(nowMillis, serviceMillis);
            }
            delayMillis += LOST_REQUEST_TIMEOUT_MILLIS;
        }
        return REFUSED_REQUEST_LATENCY_MILLIS;
    }
}
