package org.yuccabank.result;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Objects;

/** Reads text files up to a maximum length. Stateless and thread-safe. */
public final class TextFile {

    private TextFile() {}

    /**
     * Reads a UTF-8 file.
     *
     * @param path the file
     * @param maximumBytes maximum length in bytes
     * @return the text, or the reason why the file cannot be read
     */
    public static Result<String> read(Path path, int maximumBytes) {
        Objects.requireNonNull(path, "path is null");
        SourcePosition start = new SourcePosition(path.toString(), 1, 1);
        try (InputStream input = Files.newInputStream(path)) {
            byte[] content = input.readNBytes(maximumBytes + 1);
            if (content.length > maximumBytes) {
                String message = "file is too long; at most " + maximumBytes + " bytes are allowed";
                return Result.failure(start, message);
            }
            return decode(content, path.toString());
        } catch (NoSuchFileException exception) {
            return Result.failure(start, "file does not exist");
        } catch (IOException exception) {
            return Result.failure(start, "cannot read file: " + exception.getMessage());
        }
    }

    /**
     * Decodes UTF-8 and rejects malformed input.
     *
     * @param content the bytes
     * @param source name of the source
     * @return the text, or a finding at the first malformed byte
     */
    public static Result<String> decode(byte[] content, String source) {
        Objects.requireNonNull(content, "content is null");
        ByteBuffer buffer = ByteBuffer.wrap(content);
        try {
            String text =
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .onMalformedInput(CodingErrorAction.REPORT)
                            .onUnmappableCharacter(CodingErrorAction.REPORT)
                            .decode(buffer)
                            .toString();
            return Result.success(text);
        } catch (CharacterCodingException exception) {
            return Result.failure(
                    positionOf(content, buffer.position(), source), "not valid UTF-8");
        }
    }

    private static SourcePosition positionOf(byte[] content, int offset, String source) {
        int line = 1;
        int column = 1;
        for (int index = 0; index < Math.min(offset, content.length); index++) {
            boolean newline = content[index] == '\n';
            line += newline ? 1 : 0;
            column = newline ? 1 : column + 1;
        }
        return new SourcePosition(source, line, column);
    }
}
