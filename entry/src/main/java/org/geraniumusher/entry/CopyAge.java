package org.geraniumusher.entry;

import java.util.OptionalLong;

/**
 * Knows as of when a copy of objects of the store was current, and whether a peer vouches for it. A
 * peer does if it has an equal copy that was current recently. Times are of the daemon's clock, in
 * ns. Confined to the event loop.
 *
 * <p>Invariant: neither time ever decreases.
 */
final class CopyAge {
    private final long mMaxAgeNanos;
    private boolean mKnown;
    private long mCurrentAsOfNanos;
    private long mVouchedUntilNanos;

    /**
     * Creates the age of a copy that was never known to be current.
     *
     * @param maxAgeNanos time after which a peer's statement that a copy was current counts no more
     */
    CopyAge(long maxAgeNanos, long nowNanos) {
        mMaxAgeNanos = maxAgeNanos;
        mVouchedUntilNanos = nowNanos;
    }

    /** Records that the copy was current at a time. Returns whether that was not known before. */
    boolean onCurrent(long asOfNanos) {
        boolean isNews = !mKnown || asOfNanos - mCurrentAsOfNanos > 0;
        if (isNews) {
            mKnown = true;
            mCurrentAsOfNanos = asOfNanos;
        }
        return isNews;
    }

    /** Records the statement of a peer that the copy was current at a time. */
    boolean onVouchedFor(long asOfNanos) {
        long untilNanos = asOfNanos + mMaxAgeNanos;
        if (untilNanos - mVouchedUntilNanos > 0) {
            mVouchedUntilNanos = untilNanos;
        }
        return onCurrent(asOfNanos);
    }

    /** Returns whether the copy is known to have been current at a time or later. */
    boolean isCurrentSince(long nanos) {
        return mKnown && mCurrentAsOfNanos - nanos >= 0;
    }

    /** Returns the time for which the copy is not known to be current; empty if it never was. */
    OptionalLong nanos(long nowNanos) {
        return mKnown ? OptionalLong.of(nowNanos - mCurrentAsOfNanos) : OptionalLong.empty();
    }

    /** Returns the time for which a peer still vouches for the copy; not positive if none does. */
    long vouchedForNanos(long nowNanos) {
        return mVouchedUntilNanos - nowNanos;
    }
}
