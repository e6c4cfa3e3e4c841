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

/** The types of settings. Thread-safe, as it has no state. */
final class SettingTypes {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String NAME_RANGE =
            "up to 64 letters, digits, `-`, `_` and `.`, beginning with a letter or digit";

    private SettingTypes() {}

    private record Converted<T>(
            String range, BiFunction<Object, SourcePosition, Result<T>> converter)
            implements SettingType<T> {
        @Override
        public Result<T> convert(Object value, SourcePosition place) {
            return converter.apply(value, place);
        }
    }

    /** A fault that says what stands there and what is expected. */
    static <T> Result<T> fault(Object value, SourcePosition place, String expected) {
        String shown = value instanceof String text ? "'" + abbreviated(text) + "'" : kind(value);
        return Result.failure(place, shown + " is not allowed; expected " + expected);
    }

    private static String abbreviated(String text) {
        return text.length() <= 80 ? text : text.substring(0, 80) + "...";
    }

    private static String kind(Object value) {
        if (value instanceof Number || value instanceof Boolean) {
            return String.valueOf(value);
        }
        return "this value";
    }

    /** An identifier. */
    static SettingType<String> name() {
        return new Converted<>(
                NAME_RANGE,
                (value, place) ->
                        value instanceof String text && NAME.matcher(text).matches()
                                ? Result.success(text)
                                : fault(value, place, NAME_RANGE));
    }

    /** A whole number within a range. */
    static SettingType<Long> integer(long minimum, long maximum) {
        String range = minimum + " to " + maximum;
        return new Converted<>(
                range,
                (value, place) ->
                        value instanceof Long number && number >= minimum && number <= maximum
                                ? Result.success(number)
                                : fault(value, place, "a whole number from " + range));
    }

    /** One of several words. */
    static SettingType<String> choice(String... words) {
        List<String> allowed = List.of(words);
        String range = "`\"" + String.join("\"`, `\"", words) + "\"`";
        return new Converted<>(
                range,
                (value, place) -> {
                    if (value instanceof String text && allowed.contains(text)) {
                        return Result.success(text);
                    }
                    String hint =
                            value instanceof String text ? NameSuggestion.hint(text, allowed) : "";
                    return fault(value, place, "one of " + String.join(", ", allowed) + hint);
                });
    }

    /** True or false. */
    static SettingType<Boolean> flag() {
        return new Converted<>(
                "`true`, `false`",
                (value, place) ->
                        value instanceof Boolean flag
                                ? Result.success(flag)
                                : fault(value, place, "true or false"));
    }

    /** Path of a file or directory. */
    static SettingType<Path> path() {
        String range = "a path; a relative one starts at the directory of the settings file";
        return new Converted<>(
                range,
                (value, place) -> {
                    if (value instanceof String text && !text.isBlank()) {
                        try {
                            return Result.success(Path.of(text));
                        } catch (InvalidPathException exception) {
                            return fault(value, place, range);
                        }
                    }
                    return fault(value, place, range);
                });
    }

    /** Address on which a server listens. */
    static SettingType<InetSocketAddress> listenAddress() {
        String range =
                "an IP address with a port, such as 127.0.0.1:7101; port 0 is chosen by the system";
        return new Converted<>(range, (value, place) -> address(value, place, 0, range));
    }

    /** Address of a server to connect to. */
    static SettingType<InetSocketAddress> peerAddress() {
        String range = "an IP address with a port from 1 to 65535, such as 127.0.0.1:7101";
        return new Converted<>(range, (value, place) -> address(value, place, 1, range));
    }

    private static Result<InetSocketAddress> address(
            Object value, SourcePosition place, int lowestPort, String expected) {
        if (!(value instanceof String text)) {
            return fault(value, place, expected);
        }
        return Addresses.parse(text)
                .filter(address -> address.getPort() >= lowestPort)
                .map(Result::success)
                .orElseGet(() -> fault(value, place, expected));
    }

    /** Several addresses of servers to connect to. */
    static SettingType<List<InetSocketAddress>> peerAddresses() {
        return new PeerAddressesType(peerAddress());
    }

    /** Members of a control group. */
    static SettingType<List<GroupMember>> members() {
        return new GroupMembersType(name(), peerAddress());
    }
}
