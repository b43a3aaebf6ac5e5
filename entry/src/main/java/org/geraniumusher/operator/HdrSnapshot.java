package org.geraniumusher.operator;

import com.codahale.metrics.Snapshot;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** A snapshot backed by a histogram that is no longer modified. Thread-safe. */
final class HdrSnapshot extends Snapshot {
    private final Histogram mHistogram;

    HdrSnapshot(Histogram histogram) {
        mHistogram = histogram;
    }

    @Override
    public double getValue(double quantile) {
        return mHistogram.getTotalCount() == 0
                ? 0
                : mHistogram.getValueAtPercentile(quantile * 100);
    }

    /**
     * Returns each distinct value once. Repeating values by their counts, as other snapshots do,
     * could exhaust the memory.
     */
    @Override
    public long[] getValues() {
        java.util.stream.LongStream.Builder values = java.util.stream.LongStream.builder();
        for (HistogramIterationValue value : mHistogram.recordedValues()) {
            values.add(value.getValueIteratedTo());
        }
        return values.build().toArray();
    }

    @Override
    public int size() {
        return (int) Math.min(Integer.MAX_VALUE, mHistogram.getTotalCount());
    }

    @Override
    public long getMax() {
        return mHistogram.getTotalCount() == 0 ? 0 : mHistogram.getMaxValue();
    }

    @Override
    public double getMean() {
        return mHistogram.getTotalCount() == 0 ? 0 : mHistogram.getMean();
    }

    @Override
    public long getMin() {
        return mHistogram.getTotalCount() == 0 ? 0 : mHistogram.getMinValue();
    }

    @Override
    public double getStdDev() {
        return mHistogram.getTotalCount() == 0 ? 0 : mHistogram.getStdDeviation();
    }

    /** Writes one line per distinct value, with the value and its count. */
    @Override
    public void dump(OutputStream output) {
        PrintStream writer = new PrintStream(output, true, StandardCharsets.UTF_8);
        for (HistogramIterationValue value : mHistogram.recordedValues()) {
            writer.printf(
                    "%d %d%n",
                    value.getValueIteratedTo(), value.getCountAddedInThisIterationStep());
        }
    }
}
