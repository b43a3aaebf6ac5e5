package org.geraniumusher.model;

import com.google.common.collect.ImmutableSet;

import java.util.List;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/** Parses header fields that hold a decimal number. Stateless. */
public final class DecimalField {
    /** Digits, and a fraction if any. HTTP has neither sign nor exponent in such fields. */
    private static final Pattern DECIMAL = Pattern.compile("[0-9]+(\\.[0-9]+)?");

    private DecimalField() {}

    /**
     * Returns the number that all values of a field state, or empty if there is no value, one is no
     * decimal number or two differ. A number beyond the range of a double is infinite.
     */
    public static OptionalDouble parse(List<String> values) {
        ImmutableSet.Builder<Double> distinct = ImmutableSet.builder();
        for (String value : values) {
            String text = value.trim();
            if (!DECIMAL.matcher(text).matches()) {
                return OptionalDouble.empty();
            }
            distinct.add(Double.parseDouble(text));
        }
        ImmutableSet<Double> numbers = distinct.build();
        return numbers.size() == 1
                ? OptionalDouble.of(numbers.iterator().next())
                : OptionalDouble.empty();
    }
}
