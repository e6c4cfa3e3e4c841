package org.yuccabank;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests the package dependencies of section 6 of {@code docs/design.md}. */
public final class ArchitectureTest {

    private static final String ROOT = "org.yuccabank.";

    private static final Map<String, Set<String>> ALLOWED_DEPENDENCIES =
            Map.ofEntries(
                    Map.entry("result", Set.of()),
                    Map.entry("event", Set.of()),
                    Map.entry("model", Set.of("result")),
                    Map.entry("rules", Set.of("model", "result")),
                    Map.entry("settings", Set.of("model", "result")),
                    Map.entry("protocol", Set.of("event", "model")),
                    Map.entry("policy", Set.of("model", "rules", "result")),
                    Map.entry("replication", Set.of("protocol", "event", "result")),
                    Map.entry(
                            "state", Set.of("model", "rules", "result", "protocol", "replication")),
                    Map.entry("http", Set.of("model", "result", "event")),
                    Map.entry(
                            "security", Set.of("model", "result", "event", "protocol", "settings")),
                    Map.entry("standin", Set.of("http", "model")),
                    Map.entry("bench", Set.of("policy", "model", "rules", "result")),
                    Map.entry(
                            "verify",
                            Set.of(
                                    "replication",
                                    "state",
                                    "protocol",
                                    "model",
                                    "result",
                                    "rules",
                                    "event")));

    private static final Set<String> PACKAGES =
            Set.of(
                    "result",
                    "event",
                    "model",
                    "rules",
                    "settings",
                    "protocol",
                    "policy",
                    "replication",
                    "state",
                    "http",
                    "security",
                    "standin",
                    "bench",
                    "verify",
                    "control",
                    "entry",
                    "agent",
                    "local",
                    "command");

    /** Guards against dependencies on packages of a higher layer or of another role. */
    @Test
    public void shouldDependOnlyOnAllowedPackages() {
        JavaClasses classes =
                new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .importPackages("org.yuccabank");
        ALLOWED_DEPENDENCIES.forEach((name, allowed) -> check(classes, name, allowed));
        for (String role : List.of("control", "entry", "agent")) {
            check(
                    classes,
                    role,
                    Set.of(
                            "result",
                            "event",
                            "model",
                            "rules",
                            "settings",
                            "protocol",
                            "policy",
                            "replication",
                            "state",
                            "http",
                            "security"));
        }
    }

    private static void check(JavaClasses classes, String name, Set<String> allowed) {
        List<String> forbidden = new ArrayList<>();
        for (String other : PACKAGES) {
            if (!other.equals(name) && !allowed.contains(other)) {
                forbidden.add(ROOT + other + "..");
            }
        }
        noClasses()
                .that()
                .resideInAPackage(ROOT + name + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(forbidden.toArray(String[]::new))
                .allowEmptyShould(true)
                .check(classes);
    }
}
