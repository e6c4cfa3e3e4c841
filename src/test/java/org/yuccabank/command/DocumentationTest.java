package org.yuccabank.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import org.apache.commons.cli.Option;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.event.Event;
import org.yuccabank.result.Result;
import org.yuccabank.security.Credentials;
import org.yuccabank.settings.ProcessRole;
import org.yuccabank.settings.Settings;

/** Tests that the documentation and the shipped examples match the code. */
public final class DocumentationTest {

    private static final Path ROOT = Path.of(System.getProperty("yuccabank.directory"));

    private static List<String> readPage(String name) throws IOException {
        return Files.readAllLines(ROOT.resolve("docs").resolve(name));
    }

    /**
     * Guards against undocumented commands and options, and documented ones that no longer exist.
     */
    @Test
    public void shouldDocumentEveryCommand() throws IOException {
        String text = String.join("\n", readPage("commands.md"));
        String[] sections = text.split("\n## `", -1);
        assertEquals(sections.length - 1, Commands.all().size(), "sections of commands");
        for (Command command : Commands.all()) {
            String section =
                    Arrays.stream(sections)
                            .filter(part -> part.startsWith(command.name() + "`"))
                            .findFirst()
                            .orElse("");
            assertTrue(section.contains(command.summary()), command.name());
            long documented = section.lines().filter(line -> line.startsWith("| `--")).count();
            assertEquals(documented, command.options().getOptions().size() + 1L, command.name());
            for (Option option : command.options().getOptions()) {
                boolean found =
                        section.contains("| `--" + option.getLongOpt() + "`")
                                || section.contains("| `--" + option.getLongOpt() + " ");
                assertTrue(found, command.name() + " --" + option.getLongOpt());
            }
        }
    }

    /** Guards against exit codes that differ from the documentation, on which scripts rely. */
    @Test
    public void shouldDocumentEveryExitCode() throws IOException {
        List<String> documented = findTableRows("commands.md", "\\| \\d+ \\| `[A-Z_]+` \\|");
        List<String> expected =
                Arrays.stream(ExitCode.values())
                        .map(code -> "| " + code.number() + " | `" + code + "` |")
                        .toList();
        assertEquals(documented, expected);
    }

    /** Guards against events that are not documented or are documented with a different number. */
    @Test
    public void shouldDocumentEveryEvent() throws IOException {
        List<String> documented = findTableRows("events.md", "\\| \\d+ \\| `[A-Z_]+` \\|");
        List<String> expected =
                Arrays.stream(Event.values())
                        .map(event -> "| " + event.number() + " | `" + event + "` |")
                        .toList();
        assertEquals(documented, expected);
    }

    private static List<String> findTableRows(String page, String expression) throws IOException {
        Pattern pattern = Pattern.compile(expression);
        return readPage(page).stream()
                .map(pattern::matcher)
                .filter(matcher -> matcher.lookingAt())
                .map(matcher -> matcher.group())
                .toList();
    }

    /** Names of the example directories. */
    @DataProvider
    public Object[][] examples() {
        return new Object[][] {{"tazzart"}, {"ferraglia"}};
    }

    /** Guards against shipped example files that do not pass validation. */
    @Test(dataProvider = "examples")
    public void shouldShipValidExamples(String name) {
        Path directory = ROOT.resolve("examples").resolve(name);
        assertValid(RulesCheckCommand.parse(directory.resolve("rules.txt").toString()));
        assertValid(Credentials.read(directory.resolve("credentials.toml")));
        for (ProcessRole role : ProcessRole.values()) {
            assertValid(Settings.of(role, directory.resolve(role.label() + ".toml"), List.of()));
        }
    }

    private static void assertValid(Result<?> result) {
        assertEquals(result.findings().toString(), "");
    }
}
