package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A key of the settings file. Immutable; compared by identity of its name.
 *
 * @param name name with its section, such as {@code control.lease_ms}
 * @param roles roles that read the key
 * @param type type and range
 * @param defaultValue value if the key is absent, empty if the key is required or optional
 * @param required true if a file without the key is refused
 * @param unit unit in words
 * @param description what the value decides
 * @param <T> type of the value
 */
record SettingKey<T>(
        String name,
        Set<ProcessRole> roles,
        SettingType<T> type,
        Optional<T> defaultValue,
        boolean required,
        String unit,
        String description) {

    /** Checks the parts. */
    SettingKey {
        Objects.requireNonNull(name, "name is null");
        roles = Set.copyOf(roles);
    }

    /** Row of the table in {@code docs/settings.md}. */
    String documentationRow() {
        String roleLabels =
                roles.size() == ProcessRole.values().length
                        ? "all"
                        : Arrays.stream(ProcessRole.values())
                                .filter(roles::contains)
                                .map(ProcessRole::label)
                                .collect(Collectors.joining(", "));
        String defaultText =
                required ? "required" : defaultValue.map(SettingKey::formatValue).orElse("none");
        List<String> cells =
                List.of("`" + name + "`", roleLabels, unit, defaultText, type.range(), description);
        return "| " + String.join(" | ", cells) + " |";
    }

    private static String formatValue(Object value) {
        if (value instanceof InetSocketAddress address) {
            return "`\"" + Addresses.format(address) + "\"`";
        }
        return value instanceof String ? "`\"" + value + "\"`" : "`" + value + "`";
    }
}
