package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Memory for the bodies of the requests of all callers. Not thread-safe.
 *
 * <p>Invariants: never more is reserved than the total. Bodies over {@link #SMALL_BODY_BYTES} leave
 * a part of it to smaller ones, so that long bodies alone never cause the rejection of a short one.
 */
public final class BodyBudget {
    /** Size up to which a body may use the whole budget. */
    public static final int SMALL_BODY_BYTES = 64 << 10;

    /** Part of the budget, as a divisor, that only small bodies use. */
    private static final int SMALL_SHARE_DIVISOR = 8;

    private final long mTotalBytes;
    private long mReservedBytes;

    /** Creates a budget. */
    public BodyBudget(long totalBytes) {
        checkArgument(totalBytes > 0, "budget is empty");
        mTotalBytes = totalBytes;
    }

    /** Reserves memory and returns true if it is free, otherwise reserves none. */
    public boolean tryReserve(long bytes) {
        checkArgument(bytes >= 0, "negative size: %s", bytes);
        long limit =
                bytes <= SMALL_BODY_BYTES
                        ? mTotalBytes
                        : mTotalBytes - mTotalBytes / SMALL_SHARE_DIVISOR;
        if (bytes > limit - mReservedBytes) {
            return false;
        }
        mReservedBytes += bytes;
        return true;
    }

    /** Frees memory that was reserved. */
    public void release(long bytes) {
        checkState(
                bytes >= 0 && bytes <= mReservedBytes,
                "%s bytes released of %s",
                bytes,
                mReservedBytes);
        mReservedBytes -= bytes;
    }

    /** Returns the number of bytes that are reserved. */
    public long reservedBytes() {
        return mReservedBytes;
    }
}
