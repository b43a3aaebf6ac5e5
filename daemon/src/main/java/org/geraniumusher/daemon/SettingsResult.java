package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

import java.util.List;

/** Is the result of reading the settings. */
public sealed interface SettingsResult {
    /** Holds settings that passed every check. */
    record Loaded(Settings settings) implements SettingsResult {}

    /** Lists everything that is wrong, in the order of the key table, unknown keys last. */
    record Invalid(List<Problem> problems) implements SettingsResult {
        /** Copies the list and refuses an empty one. */
        public Invalid {
            problems = ImmutableList.copyOf(problems);
            checkArgument(!problems.isEmpty(), "invalid settings without a problem");
        }
    }

    /** Tells what is wrong with one key. */
    record Problem(String key, String value, String allowed) {
        @Override
        public String toString() {
            return key + " = " + value + ": allowed is " + allowed;
        }
    }
}
