package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.google.common.collect.ImmutableSortedMap;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The labels of one object, sorted by name.
 *
 * <p>A label name has 1 to 63 characters, each a letter, a digit or one of {@code . _ / -}, and
 * starts with a letter or a digit. A value has 0 to 63 of the same characters. Immutable and
 * thread-safe.
 */
public record Labels(ImmutableSortedMap<String, String> asMap) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._/-]{0,62}");
    private static final Pattern VALUE = Pattern.compile("[A-Za-z0-9._/-]{0,63}");
    private static final Labels EMPTY = new Labels(ImmutableSortedMap.of());

    /** Checks each name and value. */
    public Labels {
        asMap.forEach(
                (name, value) -> {
                    checkArgument(NAME.matcher(name).matches(), "invalid label name: %s", name);
                    checkArgument(
                            VALUE.matcher(value).matches(),
                            "invalid value of label %s: %s",
                            name,
                            value);
                });
    }

    /** Returns the empty set of labels. */
    public static Labels of() {
        return EMPTY;
    }

    /**
     * Returns the labels in {@code map}.
     *
     * @throws IllegalArgumentException if a name or value is invalid
     */
    @JsonCreator
    public static Labels copyOf(Map<String, String> map) {
        return map.isEmpty() ? EMPTY : new Labels(ImmutableSortedMap.copyOf(map));
    }

    /** Returns the labels as a map sorted by name. */
    @JsonValue
    @Override
    public ImmutableSortedMap<String, String> asMap() {
        return asMap;
    }

    /** Returns whether {@code text} is a valid label value. */
    public static boolean isValue(String text) {
        return VALUE.matcher(text).matches();
    }

    /** Returns the value of the label {@code name}, or empty if there is none. */
    public Optional<String> get(String name) {
        return Optional.ofNullable(asMap.get(name));
    }
}
