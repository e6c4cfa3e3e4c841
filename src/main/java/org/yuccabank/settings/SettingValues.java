package org.yuccabank.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.yuccabank.result.SourcePosition;

/**
 * Converted values of one settings file. Each value has the type of its key. Not thread-safe while
 * values are added.
 */
final class SettingValues {

    private final Map<String, Object> values = new HashMap<>();
    private final Map<String, SourcePosition> positions = new HashMap<>();
    private final String source;

    SettingValues(String source) {
        this.source = source;
    }

    <T> void put(SettingKey<T> key, T value, SourcePosition position) {
        values.put(key.name(), value);
        positions.put(key.name(), position);
    }

    /** Returns the value of a key or else its default, empty if it has neither. */
    @SuppressWarnings("unchecked") // put() stores only values of the key's type
    <T> Optional<T> find(SettingKey<T> key) {
        Optional<T> configured = Optional.ofNullable((T) values.get(key.name()));
        return configured.or(key::defaultValue);
    }

    /** Returns the value of a key that is required or has a default. */
    <T> T get(SettingKey<T> key) {
        return find(key)
                .orElseThrow(
                        () ->
                                new IllegalStateException(
                                        key.name() + " has neither a value nor a default"));
    }

    /** Returns the position of the value of a key, the start of the file if the key is absent. */
    SourcePosition position(SettingKey<?> key) {
        return positions.getOrDefault(key.name(), new SourcePosition(source, 1, 1));
    }
}
