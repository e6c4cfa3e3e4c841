package org.yuccabank.platform;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;
import org.yuccabank.result.Result;

/** Tests that only the folder platform/ depends on the platform. */
public final class PlatformBoundaryTest {

    private static final Pattern PLATFORM_NAMES =
            Pattern.compile(
                    "(?i)minion|deregister|machine-upkeep|fencing_token|config/replace|ack_seq"
                            + "|yuccabank-lease-holder|run-start|path_prefix|slack_factor\\b");

    private static Path root() {
        return Path.of(System.getProperty("yuccabank.directory", "."));
    }

    /** Guards against names of the platform in the product's source. */
    @Test
    public void shouldKeepNamesOfPlatformInOneFolder() throws IOException {
        List<String> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(root().resolve("src/main/java"))) {
            for (Path file : files.filter(each -> each.toString().endsWith(".java")).toList()) {
                if (!file.toString().contains("generated")
                        && PLATFORM_NAMES.matcher(Files.readString(file)).find()) {
                    found.add(file.toString());
                }
            }
        }
        assertEquals(found, List.of());
    }

    /** Guards against classes of the product that depend on the adapter. */
    @Test
    public void shouldNotDependOnPlatform() {
        noClasses()
                .that()
                .resideOutsideOfPackage("org.yuccabank.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.yuccabank.platform..")
                .check(
                        new ClassFileImporter()
                                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                                .importPackages("org.yuccabank"));
    }

    /** Guards against reporting only the first error in the settings at each start. */
    @Test
    public void shouldReportAllSettingsErrorsTogether() throws IOException {
        Path file = Files.createTempFile("settings", ".yaml");
        Files.writeString(file, "zone: 7\nseeds: []\nip: \"127.0.0.1\"\n");
        Result<PlatformSettings> settings = PlatformSettings.read(file);
        String problems = settings.findings().toString();
        for (String name : List.of("zone", "seeds", "node_name", "internal_ports")) {
            assertTrue(problems.contains(name), problems);
        }
    }
}
