package org.yuccabank.rules;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.yuccabank.result.NameSuggestion;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;

/**
 * Type of a quantity in a rules file, with its units and range. Immutable.
 *
 * @param unitFactors factor of each unit to the smallest unit
 * @param divisor number of smallest units per stored unit; if it is not 1, amounts are rounded down
 * @param expectedFormat description of a valid value
 * @param minimum minimum amount, in the stored unit
 * @param maximum maximum amount, in the stored unit
 */
record QuantityType(
        Map<String, BigDecimal> unitFactors,
        BigDecimal divisor,
        String expectedFormat,
        long minimum,
        long maximum) {

    /** Processors in cores, stored in thousandths of a core. */
    static final QuantityType PROCESSORS =
            of(Map.of("", "1000"), "a number of cores such as 24 or 0.5", 1, 1_000_000_000L);

    /** Memory, stored in MiB. */
    static final QuantityType MEMORY =
            new QuantityType(
                    unitFactors(memoryUnits()),
                    BigDecimal.valueOf(1L << 20),
                    "at least 1MiB, as a number with a unit such as 96GB or 512MiB",
                    1,
                    1L << 40);

    /** Number of accelerators. */
    static final QuantityType ACCELERATORS =
            of(Map.of("", "1"), "a whole number such as 2", 0, 100_000);

    /** Weight of a fair share. */
    static final QuantityType WEIGHT =
            of(Map.of("", "1"), "a whole number from 1 to 1000", 1, 1000);

    /** Priority of an urgent kind. */
    static final QuantityType PRIORITY = of(Map.of("", "1"), "a whole number from 1 to 9", 1, 9);

    /** Deadline of an urgent kind, stored in ms. */
    static final QuantityType DEADLINE =
            of(timeUnits(), "a time from 1ms to 1h such as 300ms", 1, 3_600_000);

    /** Checkpoint interval, stored in ms. */
    static final QuantityType CHECKPOINT =
            of(timeUnits(), "a time from 1s to 24h such as 60s", 1000, 86_400_000);

    private static final Pattern NUMBER_AND_UNIT =
            Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,3})?)([A-Za-z]*)");

    private static QuantityType of(
            Map<String, String> units, String expected, long minimum, long maximum) {
        return new QuantityType(unitFactors(units), BigDecimal.ONE, expected, minimum, maximum);
    }

    private static Map<String, BigDecimal> unitFactors(Map<String, String> units) {
        Map<String, BigDecimal> factors = new LinkedHashMap<>();
        units.forEach((unit, factor) -> factors.put(unit, new BigDecimal(factor)));
        return Collections.unmodifiableMap(factors);
    }

    private static Map<String, String> timeUnits() {
        Map<String, String> units = new LinkedHashMap<>();
        units.put("ms", "1");
        units.put("s", "1000");
        units.put("min", "60000");
        units.put("h", "3600000");
        return units;
    }

    /** Returns the bytes per unit: decimal for MB, GB and TB, binary for MiB, GiB and TiB. */
    private static Map<String, String> memoryUnits() {
        Map<String, String> units = new LinkedHashMap<>();
        units.put("MB", "1000000");
        units.put("GB", "1000000000");
        units.put("TB", "1000000000000");
        units.put("MiB", "1048576");
        units.put("GiB", "1073741824");
        units.put("TiB", "1099511627776");
        return units;
    }

    /**
     * Parses a quantity.
     *
     * @param text the number with its unit
     * @param position position of the text
     * @return the amount in the stored unit, or a finding
     */
    Result<Long> parse(String text, SourcePosition position) {
        Matcher matcher = NUMBER_AND_UNIT.matcher(text);
        if (!matcher.matches()) {
            return Result.failure(
                    position, "'" + text + "' is not a number; expected " + expectedFormat);
        }
        BigDecimal factor = unitFactors.get(matcher.group(2));
        if (factor == null) {
            return Result.failure(position, unitErrorMessage(text, matcher.group(2)));
        }
        BigDecimal amountInSmallestUnit = new BigDecimal(matcher.group(1)).multiply(factor);
        boolean roundsDown = divisor.compareTo(BigDecimal.ONE) != 0;
        BigDecimal amount =
                roundsDown
                        ? amountInSmallestUnit.divide(divisor, 0, RoundingMode.DOWN)
                        : amountInSmallestUnit;
        if (amount.stripTrailingZeros().scale() > 0) {
            return Result.failure(
                    position, "'" + text + "' is too fine; expected " + expectedFormat);
        }
        if (amount.compareTo(BigDecimal.valueOf(minimum)) < 0
                || amount.compareTo(BigDecimal.valueOf(maximum)) > 0) {
            return Result.failure(
                    position, "'" + text + "' is out of range; expected " + expectedFormat);
        }
        return Result.success(amount.longValueExact());
    }

    private String unitErrorMessage(String text, String unit) {
        if (unit.isEmpty()) {
            return "'" + text + "' has no unit; expected " + expectedFormat;
        }
        String units = String.join(", ", unitFactors.keySet());
        String allowed = unitFactors.containsKey("") ? "no unit is allowed" : "units are " + units;
        String hint = NameSuggestion.hint(unit, unitFactors.keySet());
        return "'" + text + "' has the unknown unit '" + unit + "'; " + allowed + hint;
    }
}
