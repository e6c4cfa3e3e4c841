package org.yuccabank.control.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.Test;
import org.yuccabank.agent.workflow.AgentLinesProcess;
import org.yuccabank.event.Event;

/** Tests that the lines of a request are whole on all processes. */
public final class RequestLinesTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Lines of the leader, an assignment and an end for each task and the acceptance. */
    private static final long LEADER_LINES = 1 + 2 * LeaderLinesProcess.TASKS;

    private static List<JsonNode> run(Class<?> main, Path starts) throws IOException {
        Process process =
                new ProcessBuilder(
                                System.getProperty("java.home") + "/bin/java",
                                "-cp",
                                System.getProperty("java.class.path"),
                                main.getName(),
                                starts.toString())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        List<JsonNode> lines = new ArrayList<>();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        for (String line : output.lines().toList()) {
            lines.add(MAPPER.readTree(line));
        }
        return lines;
    }

    private static Map<String, Long> linesOfEachWorkflow(List<JsonNode> lines) {
        return lines.stream()
                .map(line -> line.path("workflow").asText(line.path("run").asText()))
                .map(text -> text.replaceAll("\\..*", ""))
                .collect(Collectors.groupingBy(id -> id, Collectors.counting()));
    }

    /** A detail named as a field of the header would overwrite it. */
    private static void assertHeader(List<JsonNode> lines) {
        for (JsonNode line : lines) {
            int number = Event.valueOf(line.path("event").asText()).number();
            assertEquals(line.path("number").asInt(), number, line.toString());
        }
    }

    /**
     * Guards against a request that is kept on one process only or in part. With the former limit
     * of 200 lines of an event per second, every request beyond the first 20 lacked lines.
     */
    @Test
    public void shouldKeepSameRequestsWholeOnTwoProcessesUnderOverload() throws IOException {
        Path starts = Files.createTempFile("starts", ".bin");
        try {
            List<JsonNode> leader = run(LeaderLinesProcess.class, starts);
            List<JsonNode> agent = run(AgentLinesProcess.class, starts);
            assertHeader(leader);
            assertHeader(agent);
            Map<String, Long> kept = linesOfEachWorkflow(leader);
            Map<String, Long> onAgent = linesOfEachWorkflow(agent);
            assertEquals(Set.copyOf(kept.values()), Set.of(LEADER_LINES));
            assertEquals(Set.copyOf(onAgent.values()), Set.of((long) LeaderLinesProcess.TASKS));
            assertEquals(onAgent.keySet(), kept.keySet());
            long burst = LineDecisions.BURST_TASKS / LeaderLinesProcess.TASKS;
            assertTrue(kept.size() >= burst, "kept " + kept.size());
            assertTrue(kept.size() < LeaderLinesProcess.WORKFLOWS, "kept " + kept.size());
            long omitted = leader.stream().mapToLong(line -> line.path("leftOut").asLong()).sum();
            assertTrue(omitted > 0, "the omitted lines are counted");
        } finally {
            Files.delete(starts);
        }
    }
}
