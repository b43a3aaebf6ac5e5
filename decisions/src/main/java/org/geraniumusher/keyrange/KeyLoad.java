package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalLong;

/**
 * Counts the work of each key, where older work counts less: it halves every {@link
 * #HALF_LIFE_NANOS}. Each key also has a small even weight, so that an idle range weighs something.
 * Takes 520 KB. Not thread-safe.
 */
public final class KeyLoad {
    /** Long enough to smooth single requests, short enough to follow keys that turn hot. */
    public static final long HALF_LIFE_NANOS = 2_000_000_000L;

    private static final double FULL_SECONDS = HALF_LIFE_NANOS / 1e9 / Math.log(2);

    /** The first reports of the daemons come within this time, so that less says little. */
    private static final double MIN_COUNTED_SECONDS = 0.7;

    private static final double IDLE_WEIGHT = 1e-4;
    private static final double MAX_SCALE = 1e12;
    private static final int BLOCK_KEYS = 64;

    /** Sums of blocks of keys, so that the load of a wide range is found quickly. */
    private final double[] mBlocks = new double[(KeyRange.MAX_KEY + 1) / BLOCK_KEYS];

    private final double[] mWork = new double[KeyRange.MAX_KEY + 1];
    private double mScale = 1;
    private double mTotal;
    private long mScaledAt;
    private OptionalLong mFirstAddedAt = OptionalLong.empty();

    private KeyLoad(long nowNanos) {
        mScaledAt = nowNanos;
    }

    /** Returns an empty count. */
    public static KeyLoad create(long nowNanos) {
        return new KeyLoad(nowNanos);
    }

    /** Adds work for {@code key}; the unit is any that all callers share. */
    public void add(int key, double work, long nowNanos) {
        checkArgument(KeyRange.ALL.contains(key), "bad key: %s", key);
        advance(nowNanos);
        if (mFirstAddedAt.isEmpty()) {
            mFirstAddedAt = OptionalLong.of(nowNanos);
        }
        mWork[key] += work * mScale;
        mBlocks[key / BLOCK_KEYS] += work * mScale;
        mTotal += work * mScale;
    }

    /** Lets the counts decay up to {@code nowNanos}. */
    public void advance(long nowNanos) {
        long elapsed = nowNanos - mScaledAt;
        if (elapsed <= 0) {
            return;
        }
        mScaledAt = nowNanos;
        mScale *= Math.pow(2, (double) elapsed / HALF_LIFE_NANOS);
        if (mScale > MAX_SCALE) {
            for (int key = 0; key < mWork.length; key++) {
                mWork[key] /= mScale;
            }
            for (int block = 0; block < mBlocks.length; block++) {
                mBlocks[block] /= mScale;
            }
            mTotal /= mScale;
            mScale = 1;
        }
    }

    /**
     * Returns how many seconds of steady work the counts hold. They have decayed from the first
     * work on, so this rises from {@link #MIN_COUNTED_SECONDS} towards 2.9 s.
     */
    public double countedSeconds(long nowNanos) {
        double elapsed = nowNanos - mFirstAddedAt.orElse(nowNanos);
        double filled = 1 - Math.pow(2, -elapsed / HALF_LIFE_NANOS);
        return Math.max(MIN_COUNTED_SECONDS, filled * FULL_SECONDS);
    }

    /** Returns the decayed work of a key. */
    public double of(int key) {
        return mWork[key] / mScale + IDLE_WEIGHT;
    }

    /** Returns the decayed work of a range, in time linear in its number of blocks of 64 keys. */
    public double of(KeyRange range) {
        double sum = 0;
        int key = range.first();
        while (key <= range.last()) {
            if (key % BLOCK_KEYS == 0 && key + BLOCK_KEYS - 1 <= range.last()) {
                sum += mBlocks[key / BLOCK_KEYS];
                key += BLOCK_KEYS;
            } else {
                sum += mWork[key++];
            }
        }
        return sum / mScale + IDLE_WEIGHT * range.size();
    }

    /** Returns the decayed work of all keys, without the even weight. */
    public double total() {
        return mTotal / mScale;
    }
}
