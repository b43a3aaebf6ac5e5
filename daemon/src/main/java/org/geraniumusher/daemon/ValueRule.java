package org.geraniumusher.daemon;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Address;

import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Converts the text of a setting to its value, or to nothing when the text is not allowed.
 * Immutable and thread-safe.
 *
 * @param allowed what is allowed, as it stands in error messages and in the documentation
 * @param list whether the setting is an array
 */
record ValueRule<T>(String allowed, boolean list, Function<String, Optional<T>> parser) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern NUMBER = Pattern.compile("-?\\d{1,9}");

    /** Returns the rule of names of daemons, data centres and regions. */
    static ValueRule<String> name() {
        return new ValueRule<>(
                "1 to 63 letters, digits, `.`, `_` or `-`, the first a letter or digit",
                false,
                text -> Optional.of(text).filter(t -> NAME.matcher(t).matches()));
    }

    /** Returns the rule of one address. */
    static ValueRule<Address> address() {
        return new ValueRule<>("`host:port`, port 1 to 65535", false, ValueRule::parseAddress);
    }

    /** Returns the rule of a list of addresses, maybe empty, separated by line ends. */
    static ValueRule<ImmutableList<Address>> addresses() {
        return new ValueRule<>(
                "array of `host:port`, port 1 to 65535", true, ValueRule::parseAddresses);
    }

    /** Returns the rule of a whole number in a range. */
    static ValueRule<Integer> number(int min, int max) {
        return new ValueRule<>(
                "whole number from " + min + " to " + max,
                false,
                text -> parseNumber(text).filter(n -> n >= min && n <= max));
    }

    /** Returns the rule of a power of two in a range. */
    static ValueRule<Integer> powerOfTwo(int min, int max) {
        return new ValueRule<>(
                "power of two from " + min + " to " + max,
                false,
                text ->
                        parseNumber(text)
                                .filter(n -> n >= min && n <= max && Integer.bitCount(n) == 1));
    }

    /** Returns the rule of log levels. */
    static ValueRule<LogLevel> level() {
        return new ValueRule<>("`error`, `warning`, `info` or `debug`", false, LogLevel::ofText);
    }

    private static Optional<Integer> parseNumber(String text) {
        return NUMBER.matcher(text).matches()
                ? Optional.of(Integer.parseInt(text))
                : Optional.empty();
    }

    private static Optional<Address> parseAddress(String text) {
        try {
            return Optional.of(Address.of(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Optional<ImmutableList<Address>> parseAddresses(String text) {
        ImmutableList<Optional<Address>> all =
                text.lines().map(ValueRule::parseAddress).collect(ImmutableList.toImmutableList());
        return all.stream().allMatch(Optional::isPresent)
                ? Optional.of(
                        all.stream()
                                .map(Optional::orElseThrow)
                                .collect(ImmutableList.toImmutableList()))
                : Optional.empty();
    }
}
