package org.yuccabank.security;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;
import org.yuccabank.result.TextFile;

/**
 * Token whose string form is masked, so that it cannot be logged by accident. Comparison for
 * equality takes constant time. Immutable.
 */
public final class Secret {

    private static final int MAXIMUM_FILE_BYTES = 4096;

    private final String value;

    private Secret(String value) {
        this.value = value;
    }

    /**
     * Wraps a token.
     *
     * @param value the token
     * @return the secret
     */
    public static Secret of(String value) {
        return new Secret(Objects.requireNonNull(value, "value is null"));
    }

    /**
     * Reads a token from a file that contains nothing else.
     *
     * @param file the file
     * @return the token without surrounding white space, or a finding about the file
     */
    public static Result<Secret> read(Path file) {
        return TextFile.read(file, MAXIMUM_FILE_BYTES).flatMap(text -> parseToken(text, file));
    }

    private static Result<Secret> parseToken(String text, Path file) {
        String token = text.strip();
        boolean valid =
                !token.isEmpty()
                        && token.chars().allMatch(character -> character > ' ' && character < 127);
        return valid
                ? Result.success(new Secret(token))
                : Result.failure(
                        new SourcePosition(file.toString(), 1, 1),
                        "expected one token of printable ASCII characters without spaces");
    }

    /**
     * Returns the token in plain text. Use it only to send the token to its recipient.
     *
     * @return the token
     */
    public String reveal() {
        return value;
    }

    /**
     * Returns the SHA-256 digest of the token.
     *
     * @return 32 bytes
     */
    public byte[] digest() {
        try {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is not available", exception);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Secret secret && MessageDigest.isEqual(digest(), secret.digest());
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return "****";
    }
}
