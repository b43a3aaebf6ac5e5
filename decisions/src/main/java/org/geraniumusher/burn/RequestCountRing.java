package org.geraniumusher.burn;

import com.google.common.primitives.ImmutableLongArray;

/**
 * Counts the requests of one route per minute in a ring buffer that covers the latest minute seen
 * and those before it. Wall clocks may step back, so counts for any minute within the ring are
 * added; counts for older minutes are dropped. Not thread-safe.
 */
final class RequestCountRing {
    private final long[] mGood = new long[RequestCounts.MINUTES];
    private final long[] mTotal = new long[RequestCounts.MINUTES];
    private long mLastMinute;

    /** Adds requests to {@code minute}, given in minutes since 1970. */
    void add(long minute, long good, long total) {
        advanceTo(minute);
        if (isInRing(minute)) {
            mGood[indexOf(minute)] += good;
            mTotal[indexOf(minute)] += total;
        }
    }

    /** Adds the counts of each minute in {@code counts}. */
    void addAll(RequestCounts counts) {
        long first = counts.lastMinute() - RequestCounts.MINUTES + 1;
        for (int i = 0; i < RequestCounts.MINUTES; i++) {
            add(first + i, counts.good().get(i), counts.total().get(i));
        }
    }

    /** Returns the counts of the window that ends with {@code lastMinute}. */
    RequestCounts snapshot(long lastMinute) {
        ImmutableLongArray.Builder good = ImmutableLongArray.builder(RequestCounts.MINUTES);
        ImmutableLongArray.Builder total = ImmutableLongArray.builder(RequestCounts.MINUTES);
        for (long m = lastMinute - RequestCounts.MINUTES + 1; m <= lastMinute; m++) {
            boolean inRing = isInRing(m);
            good.add(inRing ? mGood[indexOf(m)] : 0);
            total.add(inRing ? mTotal[indexOf(m)] : 0);
        }
        return new RequestCounts(lastMinute, good.build(), total.build());
    }

    private void advanceTo(long minute) {
        if (minute <= mLastMinute) {
            return;
        }
        long firstToClear = Math.max(mLastMinute + 1, minute - RequestCounts.MINUTES + 1);
        for (long m = firstToClear; m <= minute; m++) {
            mGood[indexOf(m)] = 0;
            mTotal[indexOf(m)] = 0;
        }
        mLastMinute = minute;
    }

    private boolean isInRing(long minute) {
        return minute <= mLastMinute && minute > mLastMinute - RequestCounts.MINUTES;
    }

    private static int indexOf(long minute) {
        return (int) Math.floorMod(minute, (long) RequestCounts.MINUTES);
    }
}
