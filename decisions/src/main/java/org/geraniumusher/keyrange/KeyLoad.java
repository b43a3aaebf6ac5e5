package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;

/**
 * Counts the work of each key with exponential decay: a count halves every {@link
 * #HALF_LIFE_NANOS}. Each key also has a small constant load, so that the load of an idle range is
 * not zero. Takes 520 KB. Not thread-safe.
 */
public final class KeyLoad {
    /** Long enough to smooth single requests, short enough to follow keys that become hot. */
    public static final long HALF_LIFE_NANOS = 2_000_000_000L;

    private static final double STEADY_STATE_SECONDS = HALF_LIFE_NANOS / 1e9 / Math.log(2);

    /**
     * Lower bound of the window. The first reports of the daemons arrive within this time, so a
     * shorter window would be based on few samples.
     */
    private static final double MIN_WINDOW_SECONDS = 0.7;

    private static final double BASE_LOAD_PER_KEY = 1e-4;
    private static final double MAX_SCALE = 1e12;
    private static final int KEYS_PER_BLOCK = 64;

    /** Work of each block of keys, so that the load of a wide range is computed quickly. */
    private final double[] mScaledBlockWork = new double[(KeyRange.MAX_KEY + 1) / KEYS_PER_BLOCK];

    private final double[] mScaledWork = new double[KeyRange.MAX_KEY + 1];
    private double mScale = 1;
    private double mScaledTotal;
    private long mScaledAt;
    private OptionalLong mFirstAddedAt = OptionalLong.empty();

    private KeyLoad(long nowNanos) {
        mScaledAt = nowNanos;
    }

    /** Returns an instance without work. */
    public static KeyLoad create(long nowNanos) {
        return new KeyLoad(nowNanos);
    }

    /** Adds work for {@code key}, in any unit that all callers share. */
    public void add(int key, double work, long nowNanos) {
        checkArgument(KeyRange.ALL.contains(key), "key is out of range: %s", key);
        advance(nowNanos);
        if (mFirstAddedAt.isEmpty()) {
            mFirstAddedAt = OptionalLong.of(nowNanos);
        }
        mScaledWork[key] += work * mScale;
        mScaledBlockWork[key / KEYS_PER_BLOCK] += work * mScale;
        mScaledTotal += work * mScale;
    }

    /** Decays the counts up to {@code nowNanos}. */
    public void advance(long nowNanos) {
        long elapsed = nowNanos - mScaledAt;
        if (elapsed <= 0) {
            return;
        }
        mScaledAt = nowNanos;
        mScale *= Math.pow(2, (double) elapsed / HALF_LIFE_NANOS);
        if (mScale > MAX_SCALE) {
            for (int key = 0; key < mScaledWork.length; key++) {
                mScaledWork[key] /= mScale;
            }
            for (int block = 0; block < mScaledBlockWork.length; block++) {
                mScaledBlockWork[block] /= mScale;
            }
            mScaledTotal /= mScale;
            mScale = 1;
        }
    }

    /**
     * Returns the seconds of steady work that the decayed counts represent: a total divided by this
     * is the work per second. It starts with the first work and rises from {@link
     * #MIN_WINDOW_SECONDS} towards 2.9 s.
     */
    public double windowSeconds(long nowNanos) {
        double elapsed = nowNanos - mFirstAddedAt.orElse(nowNanos);
        double filledShare = 1 - Math.pow(2, -elapsed / HALF_LIFE_NANOS);
        return Math.max(MIN_WINDOW_SECONDS, filledShare * STEADY_STATE_SECONDS);
    }

    /** Returns the decayed work of a key, with its constant load. */
    public double of(int key) {
        return mScaledWork[key] / mScale + BASE_LOAD_PER_KEY;
    }

    /**
     * Returns the decayed work of a range, with the constant load of its keys, in time linear in
     * its number of blocks of 64 keys.
     */
    public double of(KeyRange range) {
        double sum = 0;
        int key = range.first();
        while (key <= range.last()) {
            if (key % KEYS_PER_BLOCK == 0 && key + KEYS_PER_BLOCK - 1 <= range.last()) {
                sum += mScaledBlockWork[key / KEYS_PER_BLOCK];
                key += KEYS_PER_BLOCK;
            } else {
                sum += mScaledWork[key++];
            }
        }
        return sum / mScale + BASE_LOAD_PER_KEY * range.size();
    }

    /** Returns the decayed work of all keys, without their constant load. */
    public double total() {
        return mScaledTotal / mScale;
    }
}
