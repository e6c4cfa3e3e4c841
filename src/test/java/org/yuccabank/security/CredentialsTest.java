package org.yuccabank.security;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.yuccabank.model.AccountId;
import org.yuccabank.result.Result;

/** Tests authentication and the findings about invalid credentials files. */
public final class CredentialsTest {

    private static String entry(String token, String account, boolean operator) {
        String digest = HexFormat.of().formatHex(Secret.of(token).digest());
        return "[[credential]]\ndigest = \""
                + digest
                + "\"\naccount = \""
                + account
                + "\"\noperator = "
                + operator
                + "\n";
    }

    private static final String VALID =
            entry("first-token", "studio", false) + entry("second-token", "omar", true);

    /** Guards against a token that grants access to another account or operator rights. */
    @Test
    public void shouldAuthenticateOnlyKnownTokens() {
        Credentials credentials = Credentials.parse(VALID, "f").get();
        Optional<Principal> studio = credentials.authenticateHeader("Bearer first-token");
        assertEquals(studio, Optional.of(new Principal(AccountId.of("studio"), false)));
        assertTrue(credentials.authenticateHeader("bearer second-token").orElseThrow().operator());
        assertTrue(credentials.authenticateHeader("Bearer third-token").isEmpty());
        assertTrue(credentials.authenticateHeader("Bearer ").isEmpty());
        assertTrue(credentials.authenticateHeader("Basic first-token").isEmpty());
        assertTrue(credentials.authenticateHeader(null).isEmpty());
    }

    /** Guards against tokens in logs and error messages. */
    @Test
    public void shouldNeverPrintTokens() {
        assertEquals(Secret.of("first-token").toString(), "****");
        String findings =
                Credentials.parse("[[credential]]\ndigest = \"first-token\"\n", "f")
                        .findings()
                        .toString();
        assertTrue(findings.startsWith("f:1:1: 'account' is missing"), findings);
        assertTrue(findings.contains("f:2:1: 'digest' is not valid"), findings);
        assertFalse(findings.contains("first-token"), findings);
    }

    /** Provides invalid files with a part of the expected finding. */
    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {"", "no token is listed"},
            {VALID + VALID, "duplicate digest"},
            {VALID + "operater = true\n", "did you mean 'operator'"},
            {VALID.replace("operator = true", "operator = 1"), "expected true or false"},
            {"credential = [1]", "expected a [[credential]] table"},
            {"x = 1\n" + VALID, "f:1:1: unknown key 'x'"},
        };
    }

    /** Guards against accepting part of an invalid file. */
    @Test(dataProvider = "invalidFiles")
    public void shouldReportInvalidFile(String text, String expected) {
        String findings = Credentials.parse(text, "f").findings().toString();
        assertTrue(findings.contains(expected), findings);
    }

    /**
     * Guards against revoked tokens that stay valid and against an invalid file that disables all
     * tokens.
     */
    @Test
    public void shouldReloadChangedFile() throws IOException {
        Path file = Files.createTempFile("credentials", ".toml");
        Files.writeString(file, VALID);
        ReloadingCredentials credentials = ReloadingCredentials.load(file).get();
        assertFalse(credentials.refresh());
        Files.writeString(file, "damaged");
        assertFalse(credentials.refresh());
        assertTrue(credentials.authenticate(Secret.of("first-token")).isPresent());
        Files.writeString(file, entry("second-token", "omar", true));
        assertTrue(credentials.refresh());
        assertTrue(credentials.authenticate(Secret.of("first-token")).isEmpty());
        Files.delete(file);
    }

    /** Guards against crashes and hangs on randomly corrupted files; seed 3. */
    @Test
    public void shouldHandleCorruptedFiles() {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 2000; round++) {
            StringBuilder text = new StringBuilder(VALID);
            int edits = 1 + random.nextInt(6);
            for (int edit = 0; edit < edits; edit++) {
                int position = random.nextInt(text.length());
                if (random.nextBoolean()) {
                    text.deleteCharAt(position);
                } else {
                    text.insert(position, (char) random.nextInt(0x250));
                }
            }
            Result<Credentials> result = Credentials.parse(text.toString(), "f");
            result.findings()
                    .all()
                    .forEach(
                            finding ->
                                    assertTrue(finding.position().line() > 0, finding.toString()));
        }
    }
}
