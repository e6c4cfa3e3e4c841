package org.yuccabank.agent;

import java.io.IOException;
import java.util.function.LongSupplier;

/** HTTP endpoints of the agent: target announcements, metrics and health. */
final class AgentEndpoint {

    private static final String ANNOUNCEMENT = "/v1/announcement";

    private final AgentCore core;
    private final LongSupplier clock;
    private final Runnable onChange;
    private final AgentMetrics metrics = new AgentMetrics();

    AgentEndpoint(
            AgentCore core, ControlConnection control, LongSupplier clock, Runnable onChange) {
        this.core = core;
        this.clock = clock;
        this.onChange = onChange;
        metrics.add("requests_served", core::servedCount);
        metrics.add("requests_refused", core::refusedCount);
        metrics.add("requests_held", core::admittedRequests);
        metrics.add("claims_remembered", () -> core.claims().size());
        metrics.add("tasks_known", () -> core.tasks().size());
        metrics.add("configuration_version", core::configurationVersion);
        metrics.add("report_bytes_sent", control::sentBytes);
    }

    HttpListener.Response announcement(String method, String path, byte[] body) {
        if (!path.equals(ANNOUNCEMENT)) {
            return HttpListener.Response.text(404, "not found\n");
        }
        return switch (method) {
            case "PUT" -> announce(body);
            case "DELETE" -> withdraw();
            default -> HttpListener.Response.text(405, "use PUT or DELETE\n");
        };
    }

    private HttpListener.Response announce(byte[] body) {
        try {
            core.announce(WorkerJson.readAnnouncement(body), clock.getAsLong());
        } catch (IOException exception) {
            return HttpListener.Response.text(400, exception.getMessage() + "\n");
        }
        onChange.run();
        return HttpListener.Response.json(200, "{}\n");
    }

    private HttpListener.Response withdraw() {
        core.withdraw();
        onChange.run();
        return HttpListener.Response.json(200, "{}\n");
    }

    HttpListener.Response administration(String method, String path, byte[] body) {
        return switch (path) {
            case "/metrics" -> HttpListener.Response.text(200, metrics.text());
            case "/health" -> health();
            default -> HttpListener.Response.text(404, "not found\n");
        };
    }

    private HttpListener.Response health() {
        boolean ready = core.isReady(clock.getAsLong());
        String body =
                "{\"ready\":"
                        + ready
                        + ",\"serving\":"
                        + core.isServing()
                        + ",\"draining\":"
                        + core.isDraining()
                        + ",\"configurationVersion\":"
                        + core.configurationVersion()
                        + "}\n";
        return HttpListener.Response.json(ready ? 200 : 503, body);
    }
}
