package org.geraniumusher.burn;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.primitives.ImmutableLongArray;

/**
 * Holds the request counts of one route per minute of wall-clock time. Both arrays have {@link
 * #MINUTES} entries, oldest first, and end with the minute {@code lastMinute}. Immutable and
 * thread-safe.
 *
 * @param lastMinute minute of the last entry, in minutes since 1970
 * @param good requests that succeeded within the latency that the objective allows
 * @param total all requests
 */
public record RequestCounts(long lastMinute, ImmutableLongArray good, ImmutableLongArray total) {
    /** Number of minutes kept: one hour of full minutes and the current, partial one. */
    public static final int MINUTES = 61;

    private static final long MAX_MINUTE = 1L << 40;

    /** Checks the array lengths and that no minute has more good requests than requests. */
    public RequestCounts {
        checkArgument(
                lastMinute >= MINUTES && lastMinute < MAX_MINUTE,
                "lastMinute is out of range: %s",
                lastMinute);
        checkArgument(
                good.length() == MINUTES, "unexpected number of good counts: %s", good.length());
        checkArgument(
                total.length() == MINUTES, "unexpected number of total counts: %s", total.length());
        for (int i = 0; i < MINUTES; i++) {
            checkArgument(
                    good.get(i) >= 0 && good.get(i) <= total.get(i),
                    "%s good of %s requests",
                    good.get(i),
                    total.get(i));
        }
    }

    /**
     * Returns the sum of both, added minute by minute. The result ends with the later {@code
     * lastMinute}; minutes before its window are dropped.
     */
    RequestCounts plus(RequestCounts other) {
        RequestCountRing sum = new RequestCountRing();
        sum.addAll(this);
        sum.addAll(other);
        return sum.snapshot(Math.max(lastMinute, other.lastMinute));
    }

    /**
     * Returns the counts of the window that ends with {@code minute}, without all other minutes.
     */
    RequestCounts alignedTo(long minute) {
        RequestCountRing ring = new RequestCountRing();
        ring.addAll(this);
        return ring.snapshot(minute);
    }

    /** Returns whether no request was counted. */
    boolean isEmpty() {
        return totalOfLast(MINUTES - 1) == 0;
    }

    /** Returns the number of requests in the current minute and the {@code minutes} before it. */
    long totalOfLast(int minutes) {
        return sumOfLast(total, minutes);
    }

    /**
     * Returns the number of good requests in the current minute and the {@code minutes} before it.
     */
    long goodOfLast(int minutes) {
        return sumOfLast(good, minutes);
    }

    private static long sumOfLast(ImmutableLongArray values, int minutes) {
        return values.subArray(MINUTES - 1 - minutes, MINUTES).stream().sum();
    }
}
