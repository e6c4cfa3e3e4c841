package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiFunction;
import java.util.regex.Pattern;
import org.yuccabank.result.NameSuggestion;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/** Factory of setting types. Stateless and thread-safe. */
final class SettingTypes {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String NAME_RANGE =
            "up to 64 letters, digits, `-`, `_` and `.`, beginning with a letter or digit";

    private SettingTypes() {}

    private record FunctionSettingType<T>(
            String range, BiFunction<Object, SourcePosition, Result<T>> converter)
            implements SettingType<T> {
        @Override
        public Result<T> convert(Object value, SourcePosition position) {
            return converter.apply(value, position);
        }
    }

    /** Returns a failure that states the actual value and the expected one. */
    static <T> Result<T> invalidValue(Object value, SourcePosition position, String expected) {
        String displayedValue =
                value instanceof String text ? "'" + truncate(text) + "'" : describe(value);
        return Result.failure(position, displayedValue + " is not allowed; expected " + expected);
    }

    private static String truncate(String text) {
        return text.length() <= 80 ? text : text.substring(0, 80) + "...";
    }

    private static String describe(Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            return String.valueOf(value);
        }
        return "a value of this type";
    }

    /** Returns the type of an identifier. */
    static SettingType<String> name() {
        return new FunctionSettingType<>(
                NAME_RANGE,
                (value, position) ->
                        value instanceof String text && NAME.matcher(text).matches()
                                ? Result.success(text)
                                : invalidValue(value, position, NAME_RANGE));
    }

    /** Returns the type of an integer within a range. */
    static SettingType<Long> integer(long minimum, long maximum) {
        String range = minimum + " to " + maximum;
        return new FunctionSettingType<>(
                range,
                (value, position) ->
                        value instanceof Long number && number >= minimum && number <= maximum
                                ? Result.success(number)
                                : invalidValue(value, position, "an integer from " + range));
    }

    /** Returns the type of a string that is one of several words. */
    static SettingType<String> choice(String... allowedWords) {
        List<String> allowed = List.of(allowedWords);
        String range = "`\"" + String.join("\"`, `\"", allowedWords) + "\"`";
        return new FunctionSettingType<>(
                range,
                (value, position) -> {
                    if (value instanceof String text && allowed.contains(text)) {
                        return Result.success(text);
                    }
                    String hint =
                            value instanceof String text ? NameSuggestion.hint(text, allowed) : "";
                    return invalidValue(
                            value, position, "one of " + String.join(", ", allowed) + hint);
                });
    }

    /** Returns the type of a boolean. */
    static SettingType<Boolean> flag() {
        return new FunctionSettingType<>(
                "`true`, `false`",
                (value, position) ->
                        value instanceof Boolean flag
                                ? Result.success(flag)
                                : invalidValue(value, position, "true or false"));
    }

    /** Returns the type of a file or directory path. */
    static SettingType<Path> path() {
        String range =
                "a path; relative paths are resolved against the directory of the settings file";
        return new FunctionSettingType<>(
                range,
                (value, position) -> {
                    if (value instanceof String text && !text.isBlank()) {
                        try {
                            return Result.success(Path.of(text));
                        } catch (InvalidPathException exception) {
                            return invalidValue(value, position, range);
                        }
                    }
                    return invalidValue(value, position, range);
                });
    }

    /** Returns the type of a listen address, whose port may be 0. */
    static SettingType<InetSocketAddress> listenAddress() {
        String range =
                "an IP address with a port, such as 127.0.0.1:7101; for port 0 the system assigns"
                        + " one";
        return new FunctionSettingType<>(
                range, (value, position) -> parseAddress(value, position, 0, range));
    }

    /** Returns the type of a server address to connect to. */
    static SettingType<InetSocketAddress> peerAddress() {
        String range = "an IP address with a port from 1 to 65535, such as 127.0.0.1:7101";
        return new FunctionSettingType<>(
                range, (value, position) -> parseAddress(value, position, 1, range));
    }

    private static Result<InetSocketAddress> parseAddress(
            Object value, SourcePosition position, int minimumPort, String expected) {
        if (!(value instanceof String text)) {
            return invalidValue(value, position, expected);
        }
        return Addresses.parse(text)
                .filter(address -> address.getPort() >= minimumPort)
                .map(Result::success)
                .orElseGet(() -> invalidValue(value, position, expected));
    }

    /** Returns the type of a list of server addresses to connect to. */
    static SettingType<List<InetSocketAddress>> peerAddresses() {
        return new PeerAddressesType(peerAddress());
    }

    /** Returns the type of the members of a control group. */
    static SettingType<List<GroupMember>> members() {
        return new GroupMembersType(name(), peerAddress());
    }
}
