package org.yuccabank.security;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Objects;
import org.yuccabank.result.Place;
import org.yuccabank.result.Result;
import org.yuccabank.result.TextFile;

/**
 * A token that must not be printed. Its text form is masked, so that it cannot reach a log by
 * accident; equality takes a time that does not depend on the content. Immutable.
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
     * @return the token without surrounding white space
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
                        new Place(file.toString(), 1, 1),
                        "expected one token of printable ASCII characters without spaces");
    }

    /**
     * The token itself, for sending it to its receiver only.
     *
     * @return the token
     */
    public String reveal() {
        return value;
    }

    /**
     * SHA-256 digest of the token.
     *
     * @return 32 bytes
     */
    public byte[] digest() {
        try {
            byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
            return MessageDigest.getInstance("SHA-256").digest(bytes);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("every Java platform has SHA-256", exception);
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
