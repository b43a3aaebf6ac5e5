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
 * Writes one JSON line for each decision, on a thread of its own.
 *
 * <p>Never blocks a caller: each part may write a bounded number of lines a second, and a full ring
 * drops lines; the next line of the part tells how many were left out. Thread-safe.
 */
public final class DecisionLog implements AutoCloseable {
    /** Parts of the daemon; the name of the part is a field of each of its lines. */
    public enum Part {
        /** Start, stop and settings. */
        DAEMON(100),
        /** Requests that failed, were refused, sent again or given up. */
        REQUEST(30),
        /** Requests that were answered; apart, so that they do not crowd out the failures. */
        ANSWER(20),
        /** Backend servers. */
        SERVER(20),
        /** The store and what was read from it. */
        STORE(20),
        /** Ownership of key ranges. */
        OWNERSHIP(40),
        /** Other daemons. */
        PEER(10);

        private final int mLinesPerSecond;

        Part(int linesPerSecond) {
            mLinesPerSecond = linesPerSecond;
        }
    }

    private static final int RING_LINES = 4_096;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long FLUSH_NANOS = 50_000_000L;

    private final JsonFactory mFactory = new JsonFactory();
    private final ManyToOneConcurrentArrayQueue<String> mRing =
            new ManyToOneConcurrentArrayQueue<>(RING_LINES);
    private final Map<Part, Allowance> mAllowances = new EnumMap<>(Part.class);
    private final LongSupplier mNanoClock;
    private final LongSupplier mMillisClock;
    private final PrintStream mOut;
    private final Thread mWriter;
    private volatile boolean mClosed;
    private volatile boolean mIdle;

    private DecisionLog(LongSupplier nanoClock, LongSupplier millisClock, PrintStream out) {
        mNanoClock = nanoClock;
        mMillisClock = millisClock;
        mOut = out;
        for (Part part : Part.values()) {
            mAllowances.put(part, new Allowance(part.mLinesPerSecond));
        }
        mWriter = new Thread(this::writeLines, "log");
        mWriter.setDaemon(true);
    }

    /** Starts a log that writes to {@code out}. */
    public static DecisionLog start(
            LongSupplier nanoClock, LongSupplier millisClock, PrintStream out) {
        DecisionLog log = new DecisionLog(nanoClock, millisClock, out);
        log.mWriter.start();
        return log;
    }

    /**
     * Writes a line.
     *
     * @param event what was decided, a short sentence
     * @param fields names and values by turns
     */
    public void write(Part part, String event, Object... fields) {
        checkArgument(fields.length % 2 == 0, "a field without a value after %s", event);
        int omitted = mAllowances.get(part).take(mNanoClock.getAsLong());
        if (omitted < 0) {
            return;
        }
        if (!mRing.offer(format(part, event, omitted, fields))) {
            mAllowances.get(part).omit();
        }
        if (mIdle) {
            LockSupport.unpark(mWriter);
        }
    }

    private String format(Part part, String event, int omitted, Object... fields) {
        StringWriter text = new StringWriter(160);
        try (JsonGenerator json = mFactory.createGenerator(text)) {
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
            if (omitted > 0) {
                json.writeNumberField("lines_left_out", omitted);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to memory", e);
        }
        return text.toString();
    }

    private void writeLines() {
        StringBuilder batch = new StringBuilder();
        while (true) {
            String line = mRing.poll();
            while (line != null) {
                batch.append(line).append('\n');
                line = mRing.poll();
            }
            if (batch.length() > 0) {
                mOut.print(batch);
                mOut.flush();
                batch.setLength(0);
                LockSupport.parkNanos(FLUSH_NANOS);
            } else if (mClosed) {
                return;
            } else {
                mIdle = true;
                if (mRing.isEmpty()) {
                    LockSupport.parkNanos(SECOND_NANOS);
                }
                mIdle = false;
            }
        }
    }

    /** Writes what is left and stops the thread. */
    @Override
    public void close() {
        mClosed = true;
        LockSupport.unpark(mWriter);
        try {
            mWriter.join(SECOND_NANOS / 1_000_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Counts the lines of one part in the present second. */
    private static final class Allowance {
        private final int mLimit;
        private long mSecond = Long.MIN_VALUE;
        private int mLines;
        private int mOmitted;

        Allowance(int limit) {
            mLimit = limit;
        }

        /** Returns the number of lines left out before this one, or -1 to leave this one out. */
        synchronized int take(long nowNanos) {
            long second = nowNanos / SECOND_NANOS;
            if (second != mSecond) {
                mSecond = second;
                mLines = 0;
            }
            if (mLines >= mLimit) {
                mOmitted++;
                return -1;
            }
            mLines++;
            int omitted = mOmitted;
            mOmitted = 0;
            return omitted;
        }

        synchronized void omit() {
            mOmitted++;
        }
    }
}
