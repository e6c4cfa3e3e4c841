package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A key of the settings file. Immutable.
 *
 * @param name name with its section, such as {@code control.lease_ms}
 * @param roles roles that read the key
 * @param type type and allowed values
 * @param defaultValue value if the key is absent, empty if the key is required or has no default
 * @param required true if a file without the key is not valid
 * @param unit name of the unit
 * @param description description for the documentation
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

    /** Validates the name and copies the roles. */
    SettingKey {
        Objects.requireNonNull(name, "name is null");
        roles = Set.copyOf(roles);
    }

    /** Returns the row of the key in the table of {@code docs/settings.md}. */
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
