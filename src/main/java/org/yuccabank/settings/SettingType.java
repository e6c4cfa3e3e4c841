package org.yuccabank.settings;

import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Converts and validates the value of a setting. Implementations are immutable.
 *
 * @param <T> type of the converted value
 */
interface SettingType<T> {

    /**
     * Converts a TOML value.
     *
     * @param value the value: a string, an integer, a boolean or an array
     * @param position position of the value
     * @return the converted value, or all findings about it
     */
    Result<T> convert(Object value, SourcePosition position);

    /** Returns a description of the allowed values for the documentation and for messages. */
    String range();
}
