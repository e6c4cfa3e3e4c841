package org.yuccabank.bench.routing;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.math.RoundingMode;

/** Benchmark of the division of hosts among accounts. Stateless and thread-safe. */
public final class QuotaBench {

    private static final int DECIMAL_PLACES = 6;

    private QuotaBench() {}

    /**
     * Runs the benchmark.
     *
     * @param accounts number of accounts, at least 2
     * @param hosts number of hosts, at least 1
     * @param preempts whether tasks on borrowed shares are preempted for the owners of the shares
     * @param seed seed of the random number generator
     * @return the results as JSON, byte-identical for equal arguments
     */
    public static String run(int accounts, int hosts, boolean preempts, long seed) {
        QuotaSimulation.Statistics figures = QuotaSimulation.run(accounts, hosts, preempts, seed);
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("accounts", accounts);
        json.put("hosts", hosts);
        json.put("preemption", preempts);
        json.put("seed", seed);
        json.put("steadyError", rounded(figures.steadyError()));
        json.put("returnError", rounded(figures.returnError()));
        json.put("preemptions", figures.preemptions());
        json.put("lostSeconds", figures.lostSeconds());
        return json.toString();
    }

    private static BigDecimal rounded(double value) {
        return BigDecimal.valueOf(value).setScale(DECIMAL_PLACES, RoundingMode.HALF_UP);
    }
}
