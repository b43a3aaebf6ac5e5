package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * A log that writes each decision as one line of JSON, on a thread of its own. Thread-safe.
 *
 * <p>Invariant: {@link #write} never waits for output. A line is dropped if its part has used up
 * its lines of the current second or if the queue is full. The next line of the part that is
 * written has the number of lines dropped since the last one; if there is none within the second
 * after that, a line of its own tells the number.
 */
public final class DecisionLog implements AutoCloseable {
    /** Parts of the daemon, each with a rate limit of its own. The name is a field of each line. */
    public enum Part {
        /** Start, stop and settings. */
        DAEMON(100),
        /** Requests that failed, were rejected or retried, or whose connection closed. */
        REQUEST(30),
        /** Requests without a route; separate, as changes of routes bring many at once. */
        ROUTING(30),
        /** Requests that were answered; separate from failures so as not to use up their limit. */
        ANSWER(20),
        /** Backend servers. */
        SERVER(20),
        /** The store and the objects read from it. */
        STORE(20),
        /** Ownership of key ranges. */
        OWNERSHIP(40),
        /** Peers. */
        PEER(10);

        private final int mLinesPerSecond;

        Part(int linesPerSecond) {
            mLinesPerSecond = linesPerSecond;
        }
    }

    private static final int QUEUE_CAPACITY_LINES = 4_096;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Pause after each output, in which the lines of the next one are collected. */
    private static final long FLUSH_INTERVAL_NANOS = 50_000_000L;

    private final JsonFactory mJsonFactory = new JsonFactory();
    private final ManyToOneConcurrentArrayQueue<String> mQueue =
            new ManyToOneConcurrentArrayQueue<>(QUEUE_CAPACITY_LINES);
    private final Map<Part, LineLimiter> mLimiters = new EnumMap<>(Part.class);
    private final LongSupplier mNanoClock;
    private final LongSupplier mMillisClock;
    private final PrintStream mOut;
    private final Thread mWriterThread;
    private volatile boolean mClosed;
    private volatile boolean mWriterIdle;

    private DecisionLog(LongSupplier nanoClock, LongSupplier millisClock, PrintStream out) {
        mNanoClock = nanoClock;
        mMillisClock = millisClock;
        mOut = out;
        for (Part part : Part.values()) {
            mLimiters.put(part, new LineLimiter(part.mLinesPerSecond));
        }
        mWriterThread = new Thread(this::writeLines, "log");
        mWriterThread.setDaemon(true);
    }

    /**
     * Starts a log that writes to {@code out}.
     *
     * @param nanoClock monotonic clock in nanoseconds, by which lines are limited
     * @param millisClock wall clock in milliseconds since 1970, for the times in the lines
     */
    public static DecisionLog start(
            LongSupplier nanoClock, LongSupplier millisClock, PrintStream out) {
        DecisionLog log = new DecisionLog(nanoClock, millisClock, out);
        log.mWriterThread.start();
        return log;
    }

    /**
     * Queues a line, or drops it as described for the class.
     *
     * @param event short sentence that says what was decided or happened
     * @param fields names, which are strings, each followed by its value
     * @throws IllegalArgumentException if a field has no value
     */
    public void write(Part part, String event, Object... fields) {
        checkArgument(fields.length % 2 == 0, "field without a value in log line: %s", event);
        int dropped = mLimiters.get(part).acquire(mNanoClock.getAsLong());
        if (dropped < 0) {
            return;
        }
        if (!mQueue.offer(format(part, event, dropped, fields))) {
            mLimiters.get(part).countDropped();
        }
        if (mWriterIdle) {
            LockSupport.unpark(mWriterThread);
        }
    }

    private String format(Part part, String event, int dropped, Object... fields) {
        StringWriter text = new StringWriter(160);
        try (JsonGenerator json = mJsonFactory.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("time_ms", mMillisClock.getAsLong());
            json.writeStringField("part", part.name());
            json.writeStringField("event", event);
            for (int i = 0; i < fields.length; i += 2) {
                Object value = fields[i + 1];
                if (value instanceof Long || value instanceof Integer) {
                    json.writeNumberField((String) fields[i], ((Number) value).longValue());
                } else {
                    json.writeStringField((String) fields[i], String.valueOf(value));
                }
            }
            if (dropped > 0) {
                json.writeNumberField("lines_left_out", dropped);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot format a log line", e);
        }
        return text.toString();
    }

    private void writeLines() {
        StringBuilder batch = new StringBuilder();
        while (true) {
            String line = mQueue.poll();
            while (line != null) {
                batch.append(line).append('\n');
                line = mQueue.poll();
            }
            if (batch.length() > 0) {
                mOut.print(batch);
                mOut.flush();
                batch.setLength(0);
                LockSupport.parkNanos(FLUSH_INTERVAL_NANOS);
            } else if (mClosed) {
                return;
            } else {
                // Set before the queue is checked again: a line added after the check wakes the
                // thread.
                mWriterIdle = true;
                if (mQueue.isEmpty()) {
                    LockSupport.parkNanos(NANOS_PER_SECOND);
                }
                mWriterIdle = false;
                queueCountsOfDroppedLines();
            }
        }
    }

    /** Queues a line for each part whose dropped lines no later line has told. */
    private void queueCountsOfDroppedLines() {
        mLimiters.forEach(
                (part, limiter) -> {
                    int dropped = limiter.takeDroppedBefore(mNanoClock.getAsLong());
                    if (dropped > 0) {
                        mQueue.offer(format(part, "Lines were left out", dropped));
                    }
                });
    }

    /** Writes the queued lines and stops the thread; waits at most a second for it. */
    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mWriterThread);
        try {
            mWriterThread.join(NANOS_PER_SECOND / 1_000_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Limits the lines of one part per second and counts the dropped ones. Thread-safe. */
    private static final class LineLimiter {
        private final int mMaxLinesPerSecond;
        private long mCurrentSecond = Long.MIN_VALUE;
        private int mLinesInSecond;
        private int mDropped;

        LineLimiter(int maxLinesPerSecond) {
            mMaxLinesPerSecond = maxLinesPerSecond;
        }

        /** Returns the number of lines dropped since the last line, or -1 to drop this one too. */
        synchronized int acquire(long nowNanos) {
            long second = nowNanos / NANOS_PER_SECOND;
            if (second != mCurrentSecond) {
                mCurrentSecond = second;
                mLinesInSecond = 0;
            }
            if (mLinesInSecond >= mMaxLinesPerSecond) {
                mDropped++;
                return -1;
            }
            mLinesInSecond++;
            int dropped = mDropped;
            mDropped = 0;
            return dropped;
        }

        /**
         * Returns and forgets the lines dropped in earlier seconds than that of {@code nowNanos}.
         */
        synchronized int takeDroppedBefore(long nowNanos) {
            if (nowNanos / NANOS_PER_SECOND == mCurrentSecond) {
                return 0;
            }
            int dropped = mDropped;
            mDropped = 0;
            return dropped;
        }

        /** Counts a line that was dropped because the queue was full. */
        synchronized void countDropped() {
            mDropped++;
        }
    }
}
