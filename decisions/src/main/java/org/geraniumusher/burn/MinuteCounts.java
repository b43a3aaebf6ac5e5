package org.geraniumusher.burn;

import com.google.common.primitives.ImmutableLongArray;

/**
 * Counts the requests of one route in a ring of minutes. A count for a minute that has left the
 * ring is dropped; one for an earlier minute in the ring is kept, since wall clocks may step back.
 * Not thread-safe.
 */
final class MinuteCounts {
    private final long[] mGood = new long[RouteMinutes.MINUTES];
    private final long[] mTotal = new long[RouteMinutes.MINUTES];
    private long mLastMinute;

    /** Adds requests to a minute. */
    void add(long minute, long good, long total) {
        advanceTo(minute);
        if (isInRing(minute)) {
            mGood[indexOf(minute)] += good;
            mTotal[indexOf(minute)] += total;
        }
    }

    /** Adds all minutes of {@code minutes}. */
    void addAll(RouteMinutes minutes) {
        long first = minutes.lastMinute() - RouteMinutes.MINUTES + 1;
        for (int i = 0; i < RouteMinutes.MINUTES; i++) {
            add(first + i, minutes.good().get(i), minutes.total().get(i));
        }
    }

    /** Returns the counts of the window that ends with {@code last}. */
    RouteMinutes toMinutes(long last) {
        ImmutableLongArray.Builder good = ImmutableLongArray.builder(RouteMinutes.MINUTES);
        ImmutableLongArray.Builder total = ImmutableLongArray.builder(RouteMinutes.MINUTES);
        for (long m = last - RouteMinutes.MINUTES + 1; m <= last; m++) {
            boolean counted = isInRing(m);
            good.add(counted ? mGood[indexOf(m)] : 0);
            total.add(counted ? mTotal[indexOf(m)] : 0);
        }
        return new RouteMinutes(last, good.build(), total.build());
    }

    private void advanceTo(long minute) {
        if (minute <= mLastMinute) {
            return;
        }
        long firstNew = Math.max(mLastMinute + 1, minute - RouteMinutes.MINUTES + 1);
        for (long m = firstNew; m <= minute; m++) {
            mGood[indexOf(m)] = 0;
            mTotal[indexOf(m)] = 0;
        }
        mLastMinute = minute;
    }

    private boolean isInRing(long minute) {
        return minute <= mLastMinute && minute > mLastMinute - RouteMinutes.MINUTES;
    }

    private static int indexOf(long minute) {
        return (int) Math.floorMod(minute, (long) RouteMinutes.MINUTES);
    }
}
