package org.yuccabank.settings;

import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Converts the value of a setting and checks its range. Implementations are immutable.
 *
 * @param <T> type of the converted value
 */
interface SettingType<T> {

    /**
     * Converts a value as read from TOML.
     *
     * @param value the value: a string, a whole number, a boolean or an array
     * @param position where it stands
     * @return the converted value, or all faults in it
     */
    Result<T> convert(Object value, SourcePosition position);

    /** Allowed values in words, for the documentation and for messages. */
    String range();
}
