package org.yuccabank.security;

import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;
import org.yuccabank.model.AccountId;
import org.yuccabank.result.Finding;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.NameSuggestion;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;
import org.yuccabank.result.TextFile;
import org.yuccabank.result.TomlDocument;

/**
 * Content of the credentials file: the digest of each token and the account to which it belongs.
 * Does not contain the tokens themselves. Immutable and thread-safe.
 */
public final class Credentials implements Authenticator {

    /** Maximum size of a credentials file in bytes. */
    public static final int MAXIMUM_FILE_BYTES = 1 << 20;

    private static final List<String> CREDENTIAL_KEYS = List.of("digest", "account", "operator");
    private static final Pattern DIGEST_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern ACCOUNT_PATTERN =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private static final class Entry {
        private final byte[] digest;
        private final Principal principal;

        Entry(byte[] digest, Principal principal) {
            this.digest = digest;
            this.principal = principal;
        }
    }

    private final List<Entry> entries;

    private Credentials(List<Entry> entries) {
        this.entries = List.copyOf(entries);
    }

    /**
     * Reads a credentials file.
     *
     * @param file the file
     * @return the credentials, or all findings about the file
     */
    public static Result<Credentials> read(Path file) {
        Objects.requireNonNull(file, "file is null");
        return TextFile.read(file, MAXIMUM_FILE_BYTES)
                .flatMap(text -> parse(text, file.toString()));
    }

    /**
     * Parses the content of a credentials file.
     *
     * @param text TOML text with one {@code [[credential]]} table for each token
     * @param source file name to show in findings
     * @return the credentials, or all findings
     */
    public static Result<Credentials> parse(String text, String source) {
        Objects.requireNonNull(text, "text is null");
        FindingCollector findings = FindingCollector.of(source);
        TomlTable document = TomlDocument.parse(text, source, findings);
        checkKeys(document, List.of("credential"), source, findings);
        List<Entry> entries = entries(document.get(List.of("credential")), source, findings);
        return findings.isEmpty()
                ? Result.success(new Credentials(entries))
                : Result.failure(findings.toFindings());
    }

    @Override
    public Optional<Principal> authenticate(Secret token) {
        byte[] digest = token.digest();
        Optional<Principal> principal = Optional.empty();
        // Compares every entry, so that the duration does not reveal which entry matches.
        for (Entry entry : entries) {
            if (MessageDigest.isEqual(entry.digest, digest)) {
                principal = Optional.of(entry.principal);
            }
        }
        return principal;
    }

    /**
     * Returns the number of tokens.
     *
     * @return the number of tokens
     */
    public int size() {
        return entries.size();
    }

    private static List<Entry> entries(Object value, String source, FindingCollector findings) {
        if (!(value instanceof TomlArray array) || array.isEmpty()) {
            findings.add(1, 1, "no token is listed; add a [[credential]] table for each token");
            return List.of();
        }
        List<Entry> entries = new ArrayList<>();
        Set<String> digests = new HashSet<>();
        for (int index = 0; index < array.size(); index++) {
            SourcePosition position = TomlDocument.positionOf(source, array.inputPositionOf(index));
            if (array.get(index) instanceof TomlTable table) {
                parseEntry(table, position, digests, findings).ifPresent(entries::add);
            } else {
                findings.add(new Finding(position, "expected a [[credential]] table"));
            }
        }
        return entries;
    }

    private static Optional<Entry> parseEntry(
            TomlTable table,
            SourcePosition position,
            Set<String> digests,
            FindingCollector findings) {
        checkKeys(table, CREDENTIAL_KEYS, position.source(), findings);
        Optional<String> digest =
                parseText(
                        table,
                        "digest",
                        DIGEST_PATTERN,
                        "64 lower-case hexadecimal digits",
                        position,
                        findings);
        Optional<String> account =
                parseText(
                        table,
                        "account",
                        ACCOUNT_PATTERN,
                        "the name of an account",
                        position,
                        findings);
        Object operator = table.get(List.of("operator"));
        if (operator != null && !(operator instanceof Boolean)) {
            findings.add(
                    new Finding(positionOf(table, "operator", position), "expected true or false"));
        }
        if (digest.isPresent() && !digests.add(digest.get())) {
            findings.add(new Finding(position, "duplicate digest; remove one of the tables"));
        }
        if (digest.isEmpty() || account.isEmpty()) {
            return Optional.empty();
        }
        Principal principal =
                new Principal(AccountId.of(account.get()), Boolean.TRUE.equals(operator));
        return Optional.of(new Entry(HexFormat.of().parseHex(digest.get()), principal));
    }

    /** Returns the value of a key. Findings never show an invalid value, as it may be a token. */
    private static Optional<String> parseText(
            TomlTable table,
            String key,
            Pattern pattern,
            String expected,
            SourcePosition position,
            FindingCollector findings) {
        Object value = table.get(List.of(key));
        if (value instanceof String text && pattern.matcher(text).matches()) {
            return Optional.of(text);
        }
        String problem = value == null ? "is missing" : "is not valid";
        String message = "'" + key + "' " + problem + "; expected " + expected;
        findings.add(new Finding(positionOf(table, key, position), message));
        return Optional.empty();
    }

    private static SourcePosition positionOf(TomlTable table, String key, SourcePosition position) {
        return table.contains(List.of(key))
                ? TomlDocument.positionOf(position.source(), table.inputPositionOf(List.of(key)))
                : position;
    }

    private static void checkKeys(
            TomlTable table, List<String> knownKeys, String source, FindingCollector findings) {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                SourcePosition position =
                        TomlDocument.positionOf(source, table.inputPositionOf(List.of(key)));
                String displayedKey = key.length() <= 32 ? key : key.substring(0, 32);
                String message =
                        "unknown key '"
                                + displayedKey
                                + "'"
                                + NameSuggestion.hint(displayedKey, knownKeys);
                findings.add(new Finding(position, message));
            }
        }
    }
}
