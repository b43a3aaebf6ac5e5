package org.geraniumusher.daemon;

import java.util.Locale;
import java.util.Optional;
import java.util.logging.Level;

/** Lists the levels of log records, from the fewest to the most records. */
public enum LogLevel {
    /** Something failed and needs an operator. */
    ERROR(Level.SEVERE),
    /** Something is unusual and handled. */
    WARNING(Level.WARNING),
    /** A change of state. */
    INFO(Level.INFO),
    /** Details for the search for a fault. */
    DEBUG(Level.FINE);

    private final Level mLevel;

    LogLevel(Level level) {
        mLevel = level;
    }

    /** Returns the level of java.util.logging. */
    Level level() {
        return mLevel;
    }

    /** Returns the name in settings and in log lines. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the level with this name in lower case. */
    static Optional<LogLevel> ofText(String text) {
        for (LogLevel level : values()) {
            if (level.text().equals(text)) {
                return Optional.of(level);
            }
        }
        return Optional.empty();
    }

    /** Returns the least verbose level that includes records of {@code level}. */
    static LogLevel from(Level level) {
        for (LogLevel candidate : values()) {
            if (level.intValue() >= candidate.mLevel.intValue()) {
                return candidate;
            }
        }
        return DEBUG;
    }
}
