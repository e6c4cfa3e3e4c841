package org.yuccabank.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;
import org.yuccabank.agent.workflow.WorkerAnnouncement;
import org.yuccabank.agent.workflow.WorkerApi;
import org.yuccabank.protocol.generated.FleetConfiguration;
import org.yuccabank.protocol.generated.QueueDefinition;
import org.yuccabank.protocol.generated.WorkerIdentity;
import org.yuccabank.protocol.generated.WorkflowDefinition;
import org.yuccabank.result.Result;
import org.yuccabank.state.workflow.WorkflowLimits;

/**
 * Feeds valid documents with seeded mutations to each decoder of the platform's messages. The
 * decoders run on the small stacks of the platform's processes.
 */
public final class DecoderFuzzTest {

    private static final int CASES = 3_000;

    /** Stack size of the threads that decode, as set in the deploy file. */
    private static final long STACK_BYTES = 256 << 10;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String ANNOUNCEMENT =
            "{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":"
                    + "{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],"
                    + "\"clock_ms\":482113,\"sequence\":4,\"born\":1768291729333}";
    private static final String JOB =
            "{\"spec\":\"x\",\"repeat_count\":2,\"start_at_ms\":5,\"interval_ms\":1000,\"steps\":"
                    + "[{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":900,"
                    + "\"affinity\":\"r1\"},{\"count\":2,\"cpu\":20,\"mem_mb\":10,"
                    + "\"depends_on\":[0],\"gang\":true}]}";
    private static final String MANIFEST =
            "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/a/\","
                    + "\"timeout_ms\":3000,\"completion_target_ms\":250,\"priority\":0,"
                    + "\"service\":\"s\",\"max_attempts\":2,\"slack_factor\":1.5}],\"services\":"
                    + "[{\"name\":\"s\",\"admission_control\":false}],\"limits\":{}}";
    private static final String LIST =
            "{\"clock_ms\":482113,\"born\":5,\"running\":[[\"a.0.1.17\",2,\"c\",41,7]],"
                    + "\"finished\":[[58,\"a.0.1.9\",1,\"done\",\"\"]]}";
    private static final String SETTINGS =
            "{\"node_name\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"z\",\"bind_addrs\":"
                    + "{\"control_plane\":\"127.0.0.1:1\"},\"internal_ports\":[7720,7735],"
                    + "\"seeds\":[\"10.1.0.13:8166\"],\"bootstrap\":true,\"app\":\"127.0.0.1:2\","
                    + "\"fault_tolerance\":{\"machines\":1},\"bounds\":{\"contact_ms\":3000,"
                    + "\"hold_max_ms\":6000}}";

    /** Values that other writers may put in the place of any other. */
    private static final List<String> ODD_VALUES =
            List.of(
                    "null",
                    "true",
                    "-1",
                    "0",
                    "1e999",
                    "-0.5",
                    "9223372036854775807",
                    "9223372036854775808",
                    "2147483648",
                    "7".repeat(900),
                    "7".repeat(2_000),
                    "\"\"",
                    "\"\\u0000\"",
                    "\"999.1.1.1:80\"",
                    "\"10.0.0.1:99999\"",
                    "\"10.0.0.1:0\"",
                    "\"localhost:80\"",
                    "\"a.99999999999.1.1\"",
                    "\"" + "x".repeat(5_000) + "\"",
                    "{}",
                    "[]",
                    "[[],{},null]",
                    "[".repeat(900) + "]".repeat(900),
                    "{\"a\":".repeat(900) + "1" + "}".repeat(900),
                    "[".repeat(50_000) + "]".repeat(50_000));

    /** Checks what a decoder returns for a document. */
    private interface Decoding {

        void decode(byte[] document) throws Exception;
    }

    private static byte[] mutate(String document, RandomGenerator random) {
        String marker = "\"MUTATED\"";
        try {
            JsonNode root = MAPPER.readTree(document);
            List<Runnable> places = new ArrayList<>();
            collectPlaces(root, places);
            places.get(random.nextInt(places.size())).run();
            String odd = ODD_VALUES.get(random.nextInt(ODD_VALUES.size()));
            byte[] bytes =
                    MAPPER.writeValueAsString(root)
                            .replace(marker, odd)
                            .getBytes(StandardCharsets.UTF_8);
            return switch (random.nextInt(8)) {
                case 0 -> Arrays.copyOf(bytes, random.nextInt(bytes.length));
                case 1 -> {
                    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                    yield bytes;
                }
                default -> bytes;
            };
        } catch (java.io.IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Collects the replacement of each value, at any depth, by the marker. */
    private static void collectPlaces(JsonNode node, List<Runnable> places) {
        if (node instanceof ObjectNode object) {
            object.fieldNames()
                    .forEachRemaining(name -> places.add(() -> object.put(name, "MUTATED")));
        } else if (node instanceof ArrayNode array) {
            for (int index = 0; index < array.size(); index++) {
                int place = index;
                places.add(() -> array.set(place, "MUTATED"));
            }
        }
        node.forEach(child -> collectPlaces(child, places));
    }

    private static void fuzz(String document, Decoding decoding) throws Exception {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Runnable cases =
                () -> {
                    for (long seed = 0; seed < CASES && failure.get() == null; seed++) {
                        RandomGenerator random =
                                RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
                        byte[] mutated = mutate(document, random);
                        try {
                            decoding.decode(mutated);
                        } catch (Throwable error) {
                            String start = new String(mutated, StandardCharsets.UTF_8);
                            failure.set(
                                    new AssertionError(
                                            "seed "
                                                    + seed
                                                    + ": "
                                                    + start.substring(
                                                            0, Math.min(500, start.length())),
                                            error));
                        }
                    }
                };
        Thread thread = new Thread(null, cases, "decoder", STACK_BYTES);
        thread.start();
        thread.join();
        if (failure.get() != null) {
            throw new AssertionError(failure.get());
        }
    }

    /** Guards against a status report that ends the agent or names an unusable worker. */
    @Test(timeOut = 120_000)
    public void shouldSurviveStatusReports() throws Exception {
        fuzz(
                ANNOUNCEMENT,
                document -> {
                    Result<WorkerAnnouncement> decoded =
                            AnnouncementDecoder.decode("w", "h", document);
                    if (decoded.isSuccess()) {
                        InetSocketAddress address = decoded.get().address();
                        assertFalse(address.isUnresolved(), "a name was looked up");
                        assertTrue(address.getPort() > 0);
                        assertTrue(
                                decoded.get().capacity().processorMillis()
                                        <= WorkflowLimits.MAXIMUM_AMOUNT);
                    }
                });
    }

    /** Guards against a job that ends the entry or exceeds what the leader can bear. */
    @Test(timeOut = 120_000)
    public void shouldSurviveJobs() throws Exception {
        fuzz(
                JOB,
                document -> {
                    Result<WorkflowDefinition> decoded = JobDecoder.decode(document);
                    if (decoded.isSuccess()) {
                        assertEquals(WorkflowLimits.violation(decoded.get()), Optional.empty());
                        assertTrue(WorkflowLimits.hasOrderedDependencies(decoded.get()));
                    }
                });
    }

    /** Guards against a manifest that ends the control process or names an unknown service. */
    @Test(timeOut = 120_000)
    public void shouldSurviveManifests() throws Exception {
        fuzz(
                MANIFEST,
                document -> {
                    Result<FleetConfiguration> decoded = ManifestDecoder.decode(document);
                    if (decoded.isSuccess()) {
                        assertTrue(decoded.get().getVersion() > 0);
                        for (QueueDefinition queue : decoded.get().getQueuesList()) {
                            assertTrue(
                                    decoded.get().getServicesList().stream()
                                            .anyMatch(
                                                    each ->
                                                            each.getName()
                                                                    .equals(queue.getService())));
                        }
                    }
                });
    }

    /** Guards against a list of runs that ends the subscription of the agent to its worker. */
    @Test(timeOut = 120_000)
    public void shouldSurviveListsOfRuns() throws Exception {
        WorkerIdentity identity =
                WorkerIdentity.newBuilder().setWorkerId("w").setBornMillis(5).build();
        fuzz(
                LIST,
                document -> {
                    WorkerApi.ListOutcome outcome = MinionClient.toListing(200, document, identity);
                    if (outcome instanceof WorkerApi.ListOutcome.Listing listing) {
                        listing.ended().forEach(each -> assertTrue(each.getNumber() >= 0));
                    }
                });
    }

    /** Guards against settings that end a running process instead of being refused. */
    @Test(timeOut = 120_000)
    public void shouldSurviveSettings() throws Exception {
        Path file = Files.createTempFile("settings", ".yaml");
        fuzz(
                SETTINGS,
                document -> {
                    Files.write(file, document);
                    PlatformSettings.read(file);
                });
    }
}
