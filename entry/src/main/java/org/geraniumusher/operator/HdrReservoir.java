package org.geraniumusher.operator;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Reservoir;
import com.codahale.metrics.Snapshot;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

import java.util.function.LongSupplier;

/**
 * A reservoir that records every value of the last 30 to 60 s in an HDR histogram.
 *
 * <p>Buckets are at most 1% wide, so high percentiles stay accurate to 1% for any number of values;
 * a sampling reservoir would lose rare slow values. Values are clamped to the range from 0 to
 * {@link #MAX_VALUE}. One reservoir takes about 150 KB.
 *
 * <p>Intervals change only on an update or a snapshot, so a value may remain for up to 90 s if
 * these are more than 30 s apart.
 *
 * <p>Thread-safe. An update does not wait for readers, except for the one that starts a new
 * interval.
 */
public final class HdrReservoir implements Reservoir {
    /** Length of an interval; a snapshot covers the current and the previous interval. */
    static final long INTERVAL_NANOS = 30_000_000_000L;

    /** Largest value that is recorded: one hour, for values in nanoseconds. */
    static final long MAX_VALUE = 3_600_000_000_000L;

    private static final int SIGNIFICANT_DIGITS = 2;

    private final LongSupplier mNanoClock;
    private final Recorder mRecorder = new Recorder(MAX_VALUE, SIGNIFICANT_DIGITS);
    private final Histogram mCurrentInterval = new Histogram(MAX_VALUE, SIGNIFICANT_DIGITS);
    private final Histogram mPreviousInterval = new Histogram(MAX_VALUE, SIGNIFICANT_DIGITS);
    private Histogram mRecycledHistogram;
    private volatile long mIntervalStartNanos;

    private HdrReservoir(LongSupplier nanoClock) {
        mNanoClock = checkNotNull(nanoClock);
        mIntervalStartNanos = nanoClock.getAsLong();
    }

    /**
     * Creates an empty reservoir that reads {@code nanoClock}, such as {@code System::nanoTime}.
     */
    public static HdrReservoir create(LongSupplier nanoClock) {
        return new HdrReservoir(nanoClock);
    }

    @Override
    public int size() {
        return getSnapshot().size();
    }

    @Override
    public void update(long value) {
        if (mNanoClock.getAsLong() - mIntervalStartNanos >= INTERVAL_NANOS) {
            startNewIntervalIfDue();
        }
        mRecorder.recordValue(Math.max(0, Math.min(MAX_VALUE, value)));
    }

    @Override
    public synchronized Snapshot getSnapshot() {
        startNewIntervalIfDue();
        collectRecordedValues();
        Histogram bothIntervals = mPreviousInterval.copy();
        bothIntervals.add(mCurrentInterval);
        return new HdrSnapshot(bothIntervals);
    }

    private synchronized void startNewIntervalIfDue() {
        long nowNanos = mNanoClock.getAsLong();
        long elapsedNanos = nowNanos - mIntervalStartNanos;
        if (elapsedNanos < INTERVAL_NANOS) {
            return;
        }
        collectRecordedValues();
        mPreviousInterval.reset();
        if (elapsedNanos < 2 * INTERVAL_NANOS) {
            mPreviousInterval.add(mCurrentInterval);
        }
        mCurrentInterval.reset();
        mIntervalStartNanos = nowNanos;
    }

    /**
     * Moves the values recorded since the last call into the current interval. Requires the lock.
     */
    private void collectRecordedValues() {
        mRecycledHistogram = mRecorder.getIntervalHistogram(mRecycledHistogram);
        mCurrentInterval.add(mRecycledHistogram);
    }
}
