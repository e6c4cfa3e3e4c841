package org.yuccabank.rules;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.model.AccountId;
import org.yuccabank.model.Resources;
import org.yuccabank.model.WorkKind;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.Result;

/** Tests the parsing of rules files and the findings that it reports. */
public final class RulesParserTest {

    private static final String VALID =
            """
            # The rules of the studio.
            share preview with render  # asked by Nadia, Tazzart operations

            separate encode from preview\t# asked by Nadia: encode doubles preview latency
            quota studio cpu=24.5 memory=96GB accelerators=2 weight=3 # asked by Omar
            at-most-once charge # asked by Salma, payments
            urgent preview deadline=300ms # asked by Nadia
            urgent charge deadline=2s priority=8 # asked by Salma
            batch render checkpoint=60s # asked by Omar
            batch encode # asked by Omar
            """;

    /** Guards against rules that are parsed without effect or with wrong units. */
    @Test
    public void shouldParseEveryKindOfRule() {
        ParsedRules parsed = RulesParser.parse(VALID, "rules.txt").get();
        RuleSet rules = parsed.ruleSet();
        WorkKind preview = WorkKind.of("preview");
        WorkKind render = WorkKind.of("render");
        assertEquals(parsed.rules().size(), 8);
        assertTrue(rules.mayShareHost(preview, render));
        assertFalse(rules.mayShareHost(preview, WorkKind.of("encode")));
        Quota quota = rules.quota(AccountId.of("studio")).orElseThrow();
        assertEquals(quota, new Quota(Resources.of(24_500, 91_552, 2), 3));
        assertTrue(rules.atMostOnce().contains(WorkKind.of("charge")));
        assertEquals(rules.urgent().get(preview).deadline(), Duration.ofMillis(300));
        assertEquals(rules.urgent().get(preview).priority(), 5);
        Optional<Duration> interval = rules.batch().get(render).checkpointInterval();
        assertEquals(interval, Optional.of(Duration.ofSeconds(60)));
        assertEquals(
                parsed.rules().get(1).reason().orElseThrow(), "encode doubles preview latency");
        assertEquals(parsed.rules().get(1).askedBy(), "Nadia");
    }

    /** Lines with one error each, the column of the error and a part of the message. */
    @DataProvider
    public Object[][] invalidLines() {
        return new Object[][] {
            {"batch render", 13, "nobody is named who asked"},
            {"batch render # Omar", 14, "does not say who asked"},
            {"batch render # asked by : why", 14, "is empty"},
            {"shair a with b # asked by O", 1, "did you mean 'share'"},
            {"share a wiht b # asked by O", 9, "'with'"},
            {"share a with # asked by O", 13, "ends too early"},
            {"share a with b c # asked by O", 16, "'c' is too much"},
            {"separate a! from b # asked by O", 10, "is not a name"},
            {"quota s cpu=0 memory=1GB # asked by O", 13, "out of range"},
            {"quota s cpu=1 memory=1GiBi # asked by O", 22, "unknown unit"},
            {"quota s cpu=1 memory=5 # asked by O", 22, "has no unit"},
            {"quota s cpu=1 # asked by O", 14, "'memory=' is missing"},
            {"quota s cpu=1 memroy=1GB memory=1GB # asked by O", 15, "did you mean 'memory'"},
            {"quota s cpu=1 cpu=2 memory=1GB # asked by O", 15, "'cpu=' stands twice"},
            {"urgent p deadline=2h # asked by O", 19, "out of range"},
            {"urgent p deadline=1s priority=0 # asked by O", 31, "out of range"},
            {"batch r checkpoint=1.5ms # asked by O", 20, "too fine"},
            {"at-most-once charge # asked by O", 1, "has no class"},
            {"batch a # asked by O\u202e", 21, "U+202E"},
            {"\u0000", 1, "U+0000"},
            {"# " + "x".repeat(500), 501, "502 characters"},
        };
    }

    /** Guards against errors that are accepted or reported at a wrong position. */
    @Test(dataProvider = "invalidLines")
    public void shouldReportErrorAtItsPosition(String line, int column, String message) {
        String text = "\n" + line + "\n";
        String finding = RulesParser.parse(text, "f").findings().toString();
        assertTrue(finding.startsWith("f:2:" + column + ": "), finding);
        assertTrue(finding.contains(message), finding);
        assertEquals(finding.lines().count(), 1, finding);
    }

    /** Pairs of conflicting rules. */
    @DataProvider
    public Object[][] conflicts() {
        return new Object[][] {
            {"share a with b", "separate b from a", "contradicts line 1"},
            {"urgent a deadline=1s", "batch a", "contradicts line 1"},
            {"batch a", "at-most-once a", "contradicts line 1"},
            {"batch a", "batch a", "repeats line 1"},
            {
                "quota a cpu=1 memory=1GB",
                "quota a cpu=2 memory=1GB",
                "gives a second value for 'quota a' of line 1"
            },
        };
    }

    /** Guards against accepted files with conflicting or duplicate rules. */
    @Test(dataProvider = "conflicts")
    public void shouldReportConflict(String first, String second, String message) {
        String text = first + " # asked by Ada\n" + second + " # asked by Bea";
        String finding = RulesParser.parse(text, "f").findings().toString();
        assertTrue(finding.startsWith("f:2:1: " + message), finding);
    }

    /** Guards against validation that stops at the first error. */
    @Test
    public void shouldReportAllErrorsTogether() {
        String text = "batch a\nurgent b\nshare c with\n";
        String findings = RulesParser.parse(text, "f").findings().toString();
        for (int line = 1; line <= 3; line++) {
            assertTrue(findings.contains("f:" + line + ":"), findings);
        }
    }

    /** Guards against memory exhaustion by the findings of a hostile file or by its length. */
    @Test
    public void shouldBoundFindingsAndFileLength() {
        Result<ParsedRules> result = RulesParser.parse("x\n".repeat(100_000), "f");
        assertEquals(result.findings().all().size(), FindingCollector.MAXIMUM_FINDINGS + 1);
        String oversized = "\n".repeat(RulesParser.MAXIMUM_LENGTH + 1);
        assertTrue(RulesParser.parse(oversized, "f").findings().toString().contains("too long"));
    }

    /** Guards against a difference that misses a change or reports reordered rules. */
    @Test
    public void shouldShowDifference() {
        ParsedRules older = RulesParser.parse(VALID, "old").get();
        List<String> lines = VALID.lines().sorted().toList();
        ParsedRules reordered = RulesParser.parse(String.join("\n", lines), "sorted").get();
        assertTrue(RulesDifference.between(older, reordered).isEmpty());
        String changed =
                VALID.replace("batch encode # asked by Omar", "batch gallery # asked by Omar")
                        .replace("share preview with", "separate preview from");
        RulesDifference difference =
                RulesDifference.between(older, RulesParser.parse(changed, "new").get());
        assertEquals(difference.added().get(0).text(), "batch gallery");
        assertEquals(difference.removed().get(0).text(), "batch encode");
        assertEquals(difference.changed().get(0).after().text(), "separate preview from render");
    }

    /** Guards against crashes, hangs and findings without a line on mutated files; seed 1. */
    @Test
    public void shouldHandleMutatedFiles() {
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < 20_000; round++) {
            StringBuilder text = new StringBuilder(VALID);
            int edits = 1 + random.nextInt(8);
            for (int edit = 0; edit < edits; edit++) {
                int position = random.nextInt(text.length());
                switch (random.nextInt(3)) {
                    case 0 -> text.deleteCharAt(position);
                    case 1 -> text.insert(position, (char) random.nextInt(0x250));
                    default -> text.insert(position, text.substring(random.nextInt(position + 1)));
                }
            }
            Result<ParsedRules> result = RulesParser.parse(text.toString(), "f");
            result.findings()
                    .all()
                    .forEach(
                            finding ->
                                    assertTrue(finding.position().line() > 0, finding.toString()));
        }
    }
}
