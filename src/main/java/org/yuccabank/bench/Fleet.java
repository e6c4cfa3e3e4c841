package org.yuccabank.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.yuccabank.model.Resources;

/** The fake hosts and the requests that their service instances serve. Not thread-safe. */
final class Fleet {

    /** What a service instance holds on its host for good. */
    static final Resources SERVICE_RESERVATION = Resources.of(4_000, 8_192, 0);

    /** Mean service time of a request without slowdown. */
    static final double SERVICE_MILLIS = 60;

    /** Spread of the service time: standard deviation of its logarithm. */
    private static final double SERVICE_SIGMA = 0.4;

    /** Requests per second and instance: a third of what the slots can serve. */
    private static final double REQUEST_RATE = 45;

    private static final int INSTANCES_PER_SERVICE = 11;
    private static final int CORES = 16;
    private static final int MEMORY_MEBIBYTES = 60 * 1024;

    /** One host in this many has accelerators. */
    private static final int ACCELERATOR_SPACING = 3;

    private static final int ACCELERATORS = 2;

    /** Time after which a request to a lost instance is sent to another one. */
    private static final double LOST_REQUEST_MILLIS = 250;

    private static final double REFUSED_MILLIS = 3_000;

    private final Example example;
    private final RunTotals totals;
    private final RequestRouter router;
    private final RandomGenerator arrivals;
    private final RandomGenerator routing;
    private final List<FakeHost> hosts = new ArrayList<>();
    private final List<List<FakeInstance>> services = new ArrayList<>();
    private final double[] nextArrivalMillis;

    Fleet(
            Example example,
            int workers,
            RequestRouter router,
            RunTotals totals,
            RandomGenerator arrivals,
            RandomGenerator routing) {
        this.example = example;
        this.router = router;
        this.totals = totals;
        this.arrivals = arrivals;
        this.routing = routing;
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
        int accelerators = index % ACCELERATOR_SPACING == 0 ? ACCELERATORS : 0;
        return Resources.of(1000L * CORES, MEMORY_MEBIBYTES, accelerators);
    }

    List<FakeHost> hosts() {
        return hosts;
    }

    /** Advances every host by one step and serves the requests that arrive in it. */
    void tick(long nowMillis, long stepMillis, Load load, double part) {
        for (FakeHost host : hosts) {
            host.tick(nowMillis, stepMillis);
        }
        for (int service = 0; service < services.size(); service++) {
            serve(service, nowMillis + stepMillis, load.requestFactor(service, part));
        }
    }

    private void serve(int service, long untilMillis, double factor) {
        List<FakeInstance> instances = services.get(service);
        double meanGap = 1000 / (REQUEST_RATE * factor * instances.size());
        double now = nextArrivalMillis[service];
        while (now < untilMillis) {
            double serviceMillis =
                    SERVICE_MILLIS
                            * Math.exp(
                                    SERVICE_SIGMA * arrivals.nextGaussian()
                                            - SERVICE_SIGMA * SERVICE_SIGMA / 2);
            double latency = request(instances, now, serviceMillis);
            totals.served(latency + example.networkMillis(), example.deadlineMillis(), now);
            now += meanGap * arrivals.nextExponential();
        }
        nextArrivalMillis[service] = now;
    }

    private double request(List<FakeInstance> instances, double nowMillis, double serviceMillis) {
        double delay = 0;
        for (int attempt = 0; attempt < 3; attempt++) {
            for (FakeInstance instance : instances) {
                instance.setTime(nowMillis);
            }
            int chosen = router.route(instances, (long) nowMillis, routing);
            if (chosen >= 0 && !instances.get(chosen).isLost()) {
                return delay + instances.get(chosen).serve(nowMillis, serviceMillis);
            }
            delay += LOST_REQUEST_MILLIS;
        }
        return REFUSED_MILLIS;
    }
}
