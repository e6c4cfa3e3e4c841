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
 * Reads the keys of a settings file and of overrides, and converts the values that the catalogue
 * knows for a role. Thread-safe, as it has no state.
 */
final class SettingsDocument {

    private record RawValue(Object value, SourcePosition place) {}

    private SettingsDocument() {}

    /**
     * Reads a document.
     *
     * @param text text of the file
     * @param source name of the file
     * @param overrides assignments such as {@code control.lease_ms=5000}, which win over the file
     * @param role role whose keys are allowed
     * @param findings receives all faults
     * @return the values without faults
     */
    static SettingValues read(
            String text,
            String source,
            List<String> overrides,
            ProcessRole role,
            FindingCollector findings) {
        Map<String, RawValue> raw = new LinkedHashMap<>();
        flatten(TomlDocument.parse(text, source, findings), "", source, raw);
        overrides.forEach(override -> override(override, raw, findings));
        SettingValues values = new SettingValues(source);
        for (SettingKey<?> key : SettingKeys.all().values()) {
            RawValue value = raw.remove(key.name());
            if (!key.roles().contains(role)) {
                if (value != null) {
                    foreign(key, role, value.place(), findings);
                }
            } else if (value != null) {
                convert(key, value, values, findings);
            } else if (key.required()) {
                String message = "'" + key.name() + "' is missing; expected " + key.type().range();
                findings.add(new Finding(new SourcePosition(source, 1, 1), message));
            }
        }
        raw.forEach((name, value) -> unknown(name, role, value.place(), findings));
        return values;
    }

    private static void flatten(
            TomlTable table, String prefix, String source, Map<String, RawValue> raw) {
        for (String key : table.keySet()) {
            Object value = table.get(List.of(key));
            String name = prefix + key;
            SourcePosition place =
                    TomlDocument.positionOf(source, table.inputPositionOf(List.of(key)));
            if (value instanceof TomlTable inner && (!inner.isEmpty() || isSection(name))) {
                flatten(inner, name + ".", source, raw);
            } else {
                raw.put(name, new RawValue(value, place));
            }
        }
    }

    private static boolean isSection(String name) {
        return SettingKeys.all().keySet().stream().anyMatch(key -> key.startsWith(name + "."));
    }

    /** Reads an override; a value that is not valid TOML is taken as a string. */
    private static void override(
            String override, Map<String, RawValue> raw, FindingCollector findings) {
        SourcePosition place = new SourcePosition("--set " + override, 1, 1);
        int separator = override.indexOf('=');
        if (separator <= 0) {
            findings.add(new Finding(place, "expected --set KEY=VALUE"));
            return;
        }
        String text = override.substring(separator + 1).strip();
        FindingCollector faults = FindingCollector.of(place.source());
        Object parsed = TomlDocument.parse("value = " + text, place.source(), faults).get("value");
        Object value = faults.isEmpty() && parsed != null ? parsed : text;
        raw.put(override.substring(0, separator).strip(), new RawValue(value, place));
    }

    private static <T> void convert(
            SettingKey<T> key, RawValue raw, SettingValues values, FindingCollector findings) {
        Result<T> converted = key.type().convert(raw.value(), raw.place());
        for (Finding finding : converted.findings().all()) {
            String message = key.name() + ": " + finding.message();
            findings.add(new Finding(finding.position(), message));
        }
        converted.toOptional().ifPresent(value -> values.put(key, value, raw.place()));
    }

    private static void foreign(
            SettingKey<?> key, ProcessRole role, SourcePosition place, FindingCollector findings) {
        String message =
                "'" + key.name() + "' is not a key of the role " + role.label() + "; remove it";
        findings.add(new Finding(place, message));
    }

    private static void unknown(
            String name, ProcessRole role, SourcePosition place, FindingCollector findings) {
        Set<String> known = new LinkedHashSet<>();
        SettingKeys.all().values().stream()
                .filter(key -> key.roles().contains(role))
                .forEach(key -> known.add(key.name()));
        String message = "unknown key '" + shortened(name) + "'" + hint(name, known);
        findings.add(new Finding(place, message));
    }

    /** Prefers a key that stands in the wrong section over one with a similar name. */
    private static String hint(String name, Set<String> known) {
        String last = name.substring(name.lastIndexOf('.') + 1);
        for (String candidate : known) {
            if (candidate.endsWith("." + last) || candidate.equals(last)) {
                return "; did you mean '" + candidate + "'?";
            }
        }
        return NameSuggestion.hint(shortened(name), known);
    }

    private static String shortened(String name) {
        return name.length() <= 64 ? name : name.substring(0, 64);
    }
}
