package org.yuccabank.agent;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Metrics of the agent in text format, one name and value per line. Must be read on the agent's
 * event loop.
 */
final class AgentMetrics {

    private final MetricRegistry registry = new MetricRegistry();

    void add(String name, LongSupplier value) {
        registry.register("yuccabank_agent_" + name, (Gauge<Long>) value::getAsLong);
    }

    String text() {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Gauge<?>> entry : gauges()) {
            text.append(entry.getKey()).append(' ').append(entry.getValue().getValue());
            text.append('\n');
        }
        return text.toString();
    }

    @SuppressWarnings("rawtypes")
    private Iterable<Map.Entry<String, Gauge<?>>> gauges() {
        java.util.List<Map.Entry<String, Gauge<?>>> result = new java.util.ArrayList<>();
        for (Map.Entry<String, Gauge> entry : registry.getGauges().entrySet()) {
            result.add(Map.entry(entry.getKey(), (Gauge<?>) entry.getValue()));
        }
        return result;
    }
}
