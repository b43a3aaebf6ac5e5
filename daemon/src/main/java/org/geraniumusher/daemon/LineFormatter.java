package org.geraniumusher.daemon;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a record as one line: time in UTC with milliseconds, level, text, and after a cause its
 * type, message and first frame. Line breaks within the text become spaces. Thread-safe.
 */
final class LineFormatter extends Formatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    private LineFormatter() {}

    static LineFormatter create() {
        return new LineFormatter();
    }

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder();
        line.append(TIME.format(record.getInstant()))
                .append(' ')
                .append(LogLevel.from(record.getLevel()).text())
                .append(' ')
                .append(formatMessage(record));
        Throwable cause = record.getThrown();
        if (cause != null) {
            appendCause(line, cause);
        }
        return line.toString().replaceAll("\\s*\\R\\s*", " ") + "\n";
    }

    private static void appendCause(StringBuilder line, Throwable cause) {
        line.append(" cause=\"").append(cause).append('"');
        StackTraceElement[] frames = cause.getStackTrace();
        if (frames.length > 0) {
            line.append(" at=").append(frames[0]);
        }
    }
}
