package org.yuccabank.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.result.Result;

/** Tests the validation of settings files and the findings that it reports. */
public final class SettingsTest {

    private static final String CONTROL =
            """
            process_id = "c1"
            data_centre = "d1"
            security = "off"
            protocol_address = "127.0.0.1:7101"
            [control]
            data_directory = "data"
            [group]
            replica_id = "c1"
            [[group.member]]
            replica_id = "c1"
            address = "127.0.0.1:7101"
            [[group.member]]
            replica_id = "c2"
            address = "[::1]:7102"
            """;

    private static final String AGENT =
            """
            process_id = "a1"
            data_centre = "d1"
            security = "off"
            protocol_address = "127.0.0.1:0"
            http_address = "127.0.0.1:0"
            control_addresses = ["127.0.0.1:7101", "127.0.0.1:7102"]
            [agent]
            worker_address = "127.0.0.1:7500"
            """;

    private static String findings(String text, ProcessRole role) {
        return Settings.parse(text, "f", List.of(), role).findings().toString();
    }

    /**
     * Guards against wrong defaults, ignored overrides and paths relative to the wrong directory.
     */
    @Test
    public void shouldReadFileWithDefaultsAndOverrides() throws IOException {
        Path file = Files.createTempFile("control", ".toml");
        Files.writeString(file, CONTROL);
        List<String> overrides = List.of("control.lease_ms=5000", "region=south", "rack=\"r 1\"");
        String overrideFindings = Settings.control(file, overrides).findings().toString();
        assertTrue(
                overrideFindings.startsWith("--set rack=\"r 1\":1:1: rack: 'r 1'"),
                overrideFindings);
        ControlSettings settings = Settings.control(file, overrides.subList(0, 2)).get();
        assertEquals(settings.lease(), Duration.ofSeconds(5));
        assertEquals(settings.process().region(), "south");
        assertEquals(settings.process().hostId().value(), "c1");
        assertEquals(settings.process().drainTimeout(), Optional.empty());
        assertEquals(settings.timing().electionTimeoutMinimum(), Duration.ofMillis(300));
        assertEquals(settings.group().members().size(), 2);
        assertEquals(settings.dataDirectory(), file.resolveSibling("data"));
        Files.delete(file);
    }

    /** Edits of a valid file and the findings that they cause. */
    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {
                CONTROL,
                "data_centre",
                "data_center",
                "f:2:1: unknown key 'data_center'; did you mean"
            },
            {CONTROL, "data_centre = \"d1\"", "", "f:1:1: 'data_centre' is missing"},
            {CONTROL, "= \"off\"", "= \"of\"", "did you mean 'off'"},
            {
                CONTROL,
                "\"127.0.0.1:7101\"\n[c",
                "\"localhost:7101\"\n[c",
                "f:4:1: protocol_address"
            },
            {CONTROL, "\"127.0.0.1:7101\"\n[c", "\"10.0.0.1:7101\"\n[c", "not a loopback address"},
            {CONTROL, "[::1]:7102", "10.0.0.2:7102", "group.member: not a loopback address"},
            {CONTROL, "[::1]:7102", "127.0.0.1:7101", "address 127.0.0.1:7101 is a duplicate"},
            {CONTROL, "\"c2\"", "\"c1\"", "replica_id 'c1' is a duplicate"},
            {
                CONTROL,
                "replica_id = \"c1\"\n[[",
                "replica_id = \"c9\"\n[[",
                "not a [[group.member]]"
            },
            {CONTROL, "[control]", "[control]\nheartbeat_ms = 200", "twice heartbeat_ms (200)"},
            {CONTROL, "[control]", "[control]\nlease_ms = 1", "f:6:1: control.lease_ms: 1 is not"},
            {CONTROL, "[control]", "lease_ms = 1\n[control]", "did you mean 'control.lease_ms'"},
            {CONTROL, "security = \"off\"", "", "'tls.key_file' is missing"},
            {CONTROL, "[group]", "[entry]\nwithout_control = \"refuse\"\n[group]", "not a key of"},
            {CONTROL, "= \"c1\"\ndata", "= \ndata", "f:1:14: "},
            {AGENT, "7102\"]", "7101\"]", "127.0.0.1:7101 is a duplicate"},
            {AGENT, "127.0.0.1:7500", "127.0.0.1:0", "port from 1 to 65535"},
            {AGENT, "\"127.0.0.1:7102\"", "7102", "7102 is not allowed"},
        };
    }

    /** Guards against settings errors that are accepted or reported with an unclear message. */
    @Test(dataProvider = "invalidSettings")
    public void shouldReportError(String valid, String from, String to, String expected) {
        ProcessRole role = valid.equals(CONTROL) ? ProcessRole.CONTROL : ProcessRole.AGENT;
        assertEquals(findings(valid, role), "");
        String text = valid.replaceFirst(java.util.regex.Pattern.quote(from), to);
        String reported = findings(text, role);
        assertTrue(reported.contains(expected), reported);
    }

    /** Guards against validation that stops at the first error. */
    @Test
    public void shouldReportAllErrorsTogether() {
        String text = AGENT.replace("a1", "a 1").replace("d1", "d 1").replace("off", "on");
        assertTrue(findings(text, ProcessRole.AGENT).lines().count() >= 3);
    }

    /** Guards against documentation of settings that differs from the code. */
    @Test
    public void shouldBeDocumented() throws IOException {
        Path page = Path.of(System.getProperty("yuccabank.directory"), "docs", "settings.md");
        List<String> documented =
                Files.readAllLines(page).stream().filter(line -> line.startsWith("| `")).toList();
        List<String> expected =
                SettingKeys.all().values().stream().map(SettingKey::documentationRow).toList();
        assertEquals(documented, expected, "rows should be:\n" + String.join("\n", expected));
    }

    /** Guards against a stack overflow on deeply nested arrays. */
    @Test
    public void shouldRejectDeepNesting() {
        String nested = "process_id = " + "[".repeat(Settings.MAXIMUM_FILE_BYTES - 20);
        assertTrue(findings(nested, ProcessRole.AGENT).length() > 0);
    }

    /** Guards against crashes and hangs on randomly mutated settings files; seed 2. */
    @Test
    public void shouldHandleMutatedFiles() {
        SplittableRandom random = new SplittableRandom(2);
        for (int round = 0; round < 2000; round++) {
            StringBuilder text = new StringBuilder(random.nextBoolean() ? CONTROL : AGENT);
            int edits = 1 + random.nextInt(6);
            for (int edit = 0; edit < edits; edit++) {
                int position = random.nextInt(text.length());
                switch (random.nextInt(3)) {
                    case 0 -> text.deleteCharAt(position);
                    case 1 -> text.insert(position, (char) random.nextInt(0x250));
                    default -> text.insert(position, text.substring(0, position));
                }
            }
            for (ProcessRole role : ProcessRole.values()) {
                Result<SettingValues> result =
                        Settings.parse(text.toString(), "f", List.of("x=1"), role);
                assertTrue(!result.isSuccess(), "the override names an unknown key");
            }
        }
    }
}
