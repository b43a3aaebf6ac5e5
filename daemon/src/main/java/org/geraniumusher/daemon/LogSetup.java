package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import java.io.OutputStream;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Sets up the log of the process: Flogger writes through java.util.logging, one line a record.
 *
 * <p>A text starts with the prefix of its part, such as {@code ownership:}, {@code config:} or
 * {@code caller:}, and carries values as {@code key=value}. Lines that may repeat are limited where
 * they are written, with Flogger's {@code atMostEvery}. Thread-safe.
 */
public final class LogSetup {
    // The loggers are kept weakly by java.util.logging; without this field the level of the
    // project's logger would be lost with the logger.
    private static final Logger PROJECT = Logger.getLogger("org.geraniumusher");

    private LogSetup() {}

    /** Sends records of {@code level} and above to {@code output}, and nothing elsewhere. */
    public static void install(LogLevel level, OutputStream output) {
        checkNotNull(level);
        LogManager.getLogManager().reset();
        Handler handler = new FlushingHandler(output, LineFormatter.create());
        handler.setLevel(level.level());
        Logger root = Logger.getLogger("");
        root.setLevel(LogLevel.WARNING.level());
        root.addHandler(handler);
        PROJECT.setLevel(level.level());
    }

    /** Flushes each record, so that the last ones before a crash are not lost. */
    private static final class FlushingHandler extends StreamHandler {
        FlushingHandler(OutputStream output, Formatter formatter) {
            super(output, formatter);
        }

        @Override
        public synchronized void publish(java.util.logging.LogRecord record) {
            super.publish(record);
            flush();
        }
    }
}
