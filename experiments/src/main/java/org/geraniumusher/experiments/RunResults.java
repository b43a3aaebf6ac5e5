package org.geraniumusher.experiments;

import org.HdrHistogram.Histogram;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the figures of one run for the calls that arrive within the measured time. Not
 * thread-safe.
 */
final class RunResults {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final int DIGITS = 3;

    /** The worst part of a long run is judged in windows of this length. */
    private static final long WINDOW_NANOS = 5_000_000_000L;

    private final long mFromNanos;
    private final long mToNanos;
    private final List<Histogram> mWindows = new ArrayList<>();
    private final Histogram mLatencies = new Histogram(HIGHEST_MICROS, DIGITS);
    private final List<Double> mImbalances = new ArrayList<>();
    private double mColdExcess;
    private double mLateExcess;
    private long mSent;
    private long mCalls;
    private long mInTime;
    private long mCut;
    private long mRefused;

    RunResults(long fromNanos, long toNanos) {
        mFromNanos = fromNanos;
        mToNanos = toNanos;
        for (long t = fromNanos; t < toNanos; t += WINDOW_NANOS) {
            mWindows.add(new Histogram(HIGHEST_MICROS, DIGITS));
        }
    }

    long fromNanos() {
        return mFromNanos;
    }

    long toNanos() {
        return mToNanos;
    }

    void sent(Call call) {
        if (isMeasured(call)) {
            mSent++;
        }
    }

    void completed(Call call, ResultCode code, long atNanos) {
        if (!isMeasured(call)) {
            return;
        }
        mCalls++;
        if (code == ResultCode.OK) {
            mInTime++;
            long micros = (atNanos - call.arrivalNanos()) / 1_000;
            mLatencies.recordValue(micros);
            int window = (int) ((call.arrivalNanos() - mFromNanos) / WINDOW_NANOS);
            mWindows.get(window).recordValue(micros);
        } else if (code.outcome() == Outcome.UNKNOWN) {
            mCut++;
        } else {
            mRefused++;
        }
    }

    /** Takes the highest load over the mean in one second. */
    void imbalance(double ratio) {
        mImbalances.add(ratio);
    }

    /** Takes the largest ratio of running to bearable requests at a cold server. */
    void coldExcess(double ratio) {
        mColdExcess = Math.max(mColdExcess, ratio);
        mLateExcess = Math.max(mLateExcess, ratio);
    }

    void startLateExcess() {
        mLateExcess = 0;
    }

    double percentileMillis(double percentile) {
        return mLatencies.getValueAtPercentile(percentile) * 1_000 / NANOS_PER_MILLI;
    }

    double worstWindowMillis(double percentile) {
        return mWindows.stream()
                .mapToDouble(w -> w.getValueAtPercentile(percentile) * 1_000 / NANOS_PER_MILLI)
                .max()
                .orElse(0);
    }

    double imbalance() {
        return Summary.of(mImbalances).median();
    }

    double coldExcess() {
        return mColdExcess;
    }

    double lateExcess() {
        return mLateExcess;
    }

    double sentPerCall() {
        return (double) mSent / mCalls;
    }

    double inTimeShare() {
        return (double) mInTime / mCalls;
    }

    double refusedShare() {
        return (double) mRefused / mCalls;
    }

    long cut() {
        return mCut;
    }

    private boolean isMeasured(Call call) {
        return call.arrivalNanos() >= mFromNanos && call.arrivalNanos() < mToNanos;
    }
}
