package org.geraniumusher.burn;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.primitives.ImmutableLongArray;

/**
 * Holds the requests of one route by minute of wall-clock time, oldest first. The arrays have
 * {@link #MINUTES} entries, the last of which is the minute {@code lastMinute}. Immutable and
 * thread-safe.
 *
 * @param lastMinute minutes since 1970 of the last entry
 * @param good requests that succeeded within the latency of the objective
 * @param total all requests
 */
public record RouteMinutes(long lastMinute, ImmutableLongArray good, ImmutableLongArray total) {
    /** Minutes kept: one hour and the minute that is still running. */
    public static final int MINUTES = 61;

    private static final long MAX_MINUTE = 1L << 40;

    /** Checks lengths and counts. */
    public RouteMinutes {
        checkArgument(
                lastMinute >= MINUTES && lastMinute < MAX_MINUTE, "bad minute: %s", lastMinute);
        checkArgument(good.length() == MINUTES, "bad number of minutes: %s", good.length());
        checkArgument(total.length() == MINUTES, "bad number of minutes: %s", total.length());
        for (int i = 0; i < MINUTES; i++) {
            checkArgument(
                    good.get(i) >= 0 && good.get(i) <= total.get(i),
                    "%s good of %s requests",
                    good.get(i),
                    total.get(i));
        }
    }

    /** Returns the sum of both, aligned by time; minutes that are too old are dropped. */
    RouteMinutes plus(RouteMinutes other) {
        MinuteCounts sum = new MinuteCounts();
        sum.addAll(this);
        sum.addAll(other);
        return sum.toMinutes(Math.max(lastMinute, other.lastMinute));
    }

    /** Returns the counts of the window that ends with {@code minute}; others are dropped. */
    RouteMinutes at(long minute) {
        MinuteCounts copy = new MinuteCounts();
        copy.addAll(this);
        return copy.toMinutes(minute);
    }

    /** Reports whether no request was counted. */
    boolean isEmpty() {
        return totalOfLast(MINUTES - 1) == 0;
    }

    /** Returns all requests of the running minute and of {@code minutes} full ones before it. */
    long totalOfLast(int minutes) {
        return sumOfLast(total, minutes);
    }

    /** Returns the good requests of the running minute and of {@code minutes} before it. */
    long goodOfLast(int minutes) {
        return sumOfLast(good, minutes);
    }

    private static long sumOfLast(ImmutableLongArray values, int minutes) {
        return values.subArray(MINUTES - 1 - minutes, MINUTES).stream().sum();
    }
}
