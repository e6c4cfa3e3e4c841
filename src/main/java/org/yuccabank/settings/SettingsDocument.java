package org.yuccabank.settings;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.TomlTable;
import org.yuccabank.result.Finding;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.NameSuggestion;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;
import org.yuccabank.result.TomlDocument;

/**
 * Parses a settings file and overrides, and converts the values of the keys of a role. Stateless
 * and thread-safe.
 */
final class SettingsDocument {

    private record RawValue(Object value, SourcePosition position) {}

    private SettingsDocument() {}

    /**
     * Reads the values of a settings file.
     *
     * @param text text of the file
     * @param source name of the file
     * @param overrides assignments such as {@code control.lease_ms=5000}, which override the file
     * @param role role whose keys are allowed
     * @param findings receives all findings
     * @return the valid values
     */
    static SettingValues read(
            String text,
            String source,
            List<String> overrides,
            ProcessRole role,
            FindingCollector findings) {
        Map<String, RawValue> rawValues = new LinkedHashMap<>();
        flatten(TomlDocument.parse(text, source, findings), "", source, rawValues);
        overrides.forEach(override -> applyOverride(override, rawValues, findings));
        SettingValues values = new SettingValues(source);
        for (SettingKey<?> key : SettingKeys.all().values()) {
            RawValue value = rawValues.remove(key.name());
            if (!key.roles().contains(role)) {
                if (value != null) {
                    addWrongRoleFinding(key, role, value.position(), findings);
                }
            } else if (value != null) {
                convert(key, value, values, findings);
            } else if (key.required()) {
                String message = "'" + key.name() + "' is missing; expected " + key.type().range();
                findings.add(new Finding(new SourcePosition(source, 1, 1), message));
            }
        }
        rawValues.forEach(
                (name, value) -> addUnknownKeyFinding(name, role, value.position(), findings));
        return values;
    }

    private static void flatten(
            TomlTable table, String prefix, String source, Map<String, RawValue> rawValues) {
        for (String key : table.keySet()) {
            Object value = table.get(List.of(key));
            String name = prefix + key;
            SourcePosition position =
                    TomlDocument.positionOf(source, table.inputPositionOf(List.of(key)));
            if (value instanceof TomlTable nestedTable
                    && (!nestedTable.isEmpty() || isSection(name))) {
                flatten(nestedTable, name + ".", source, rawValues);
            } else {
                rawValues.put(name, new RawValue(value, position));
            }
        }
    }

    private static boolean isSection(String name) {
        return SettingKeys.all().keySet().stream().anyMatch(key -> key.startsWith(name + "."));
    }

    /** Applies an override. A value that is not valid TOML is used as a string. */
    private static void applyOverride(
            String override, Map<String, RawValue> rawValues, FindingCollector findings) {
        SourcePosition position = new SourcePosition("--set " + override, 1, 1);
        int separator = override.indexOf('=');
        if (separator <= 0) {
            findings.add(new Finding(position, "expected --set KEY=VALUE"));
            return;
        }
        String text = override.substring(separator + 1).strip();
        FindingCollector parseFindings = FindingCollector.of(position.source());
        Object parsed =
                TomlDocument.parse("value = " + text, position.source(), parseFindings)
                        .get("value");
        Object value = parseFindings.isEmpty() && parsed != null ? parsed : text;
        rawValues.put(override.substring(0, separator).strip(), new RawValue(value, position));
    }

    private static <T> void convert(
            SettingKey<T> key, RawValue rawValue, SettingValues values, FindingCollector findings) {
        Result<T> converted = key.type().convert(rawValue.value(), rawValue.position());
        for (Finding finding : converted.findings().all()) {
            String message = key.name() + ": " + finding.message();
            findings.add(new Finding(finding.position(), message));
        }
        converted.toOptional().ifPresent(value -> values.put(key, value, rawValue.position()));
    }

    private static void addWrongRoleFinding(
            SettingKey<?> key,
            ProcessRole role,
            SourcePosition position,
            FindingCollector findings) {
        String message =
                "'" + key.name() + "' is not a key of the role " + role.label() + "; remove it";
        findings.add(new Finding(position, message));
    }

    private static void addUnknownKeyFinding(
            String name, ProcessRole role, SourcePosition position, FindingCollector findings) {
        Set<String> knownKeys = new LinkedHashSet<>();
        SettingKeys.all().values().stream()
                .filter(key -> key.roles().contains(role))
                .forEach(key -> knownKeys.add(key.name()));
        String message = "unknown key '" + truncate(name) + "'" + suggestion(name, knownKeys);
        findings.add(new Finding(position, message));
    }

    /**
     * Suggests the key with the same name in another section, otherwise one with a similar name.
     */
    private static String suggestion(String name, Set<String> knownKeys) {
        String lastSegment = name.substring(name.lastIndexOf('.') + 1);
        for (String candidate : knownKeys) {
            if (candidate.endsWith("." + lastSegment) || candidate.equals(lastSegment)) {
                return "; did you mean '" + candidate + "'?";
            }
        }
        return NameSuggestion.hint(truncate(name), knownKeys);
    }

    private static String truncate(String name) {
        return name.length() <= 64 ? name : name.substring(0, 64);
    }
}
