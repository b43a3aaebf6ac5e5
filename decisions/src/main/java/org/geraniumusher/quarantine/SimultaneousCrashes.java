package org.geraniumusher.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Knows when servers crashed, and counts the crashes that are evidence against a request.
 *
 * <p>A loss of power or of a rack ends many servers at once, and a request that is called often was
 * in progress at several of them. So crashes at once count for one if the request was in progress
 * at fewer than half of the servers that crashed then. Other crashes count each.
 *
 * <p>Invariants: memory is bounded; a crash whose time is not known counts. Times are in
 * milliseconds. Not thread-safe.
 */
final class SimultaneousCrashes {
    /** Time between two crashes that count as simultaneous, which daemons detect at any time. */
    static final long WINDOW_MILLIS = 500;

    private static final int MAX_CRASHES = 4_096;

    private final Map<String, Long> mTimes = new LinkedHashMap<>();

    /** The values of {@link #mTimes} in ascending order. */
    private long[] mSortedTimes = {};

    private SimultaneousCrashes() {}

    /** Returns an instance that knows of no crashes. */
    static SimultaneousCrashes create() {
        return new SimultaneousCrashes();
    }

    /** Records a crash. The earliest time counts if several daemons report it. */
    void add(String incarnationId, long atMillis) {
        Long known = mTimes.get(checkNotNull(incarnationId));
        if (known != null && known <= atMillis) {
            return;
        }
        mTimes.put(incarnationId, atMillis);
        if (mTimes.size() > MAX_CRASHES) {
            mTimes.remove(mTimes.keySet().iterator().next());
        }
        sortTimes();
    }

    /** Forgets the crashes before a time. */
    void forgetBefore(long millis) {
        if (mSortedTimes.length > 0 && mSortedTimes[0] < millis) {
            mTimes.values().removeIf(time -> time < millis);
            sortTimes();
        }
    }

    private void sortTimes() {
        mSortedTimes = mTimes.values().stream().mapToLong(Long::longValue).sorted().toArray();
    }

    /**
     * Returns how many of the crashes under a request are evidence against it. Takes O(n log m) for
     * n crashes of m known ones.
     */
    int countEvidence(Collection<String> crashes) {
        long[] times =
                crashes.stream()
                        .map(mTimes::get)
                        .filter(Objects::nonNull)
                        .mapToLong(Long::longValue)
                        .sorted()
                        .toArray();
        int count = crashes.size() - times.length;
        boolean anyShared = false;
        long firstShared = 0;
        for (long time : times) {
            if (2 * countAround(times, time) >= countAround(mSortedTimes, time)) {
                count++;
            } else if (!anyShared || time - firstShared >= WINDOW_MILLIS) {
                anyShared = true;
                firstShared = time;
                count++;
            }
        }
        return count;
    }

    /** Returns how many of the sorted times differ from a time by less than the window. */
    private static int countAround(long[] sorted, long time) {
        return countBefore(sorted, time + WINDOW_MILLIS)
                - countBefore(sorted, time - WINDOW_MILLIS + 1);
    }

    private static int countBefore(long[] sorted, long time) {
        int index = Arrays.binarySearch(sorted, time);
        if (index < 0) {
            return -index - 1;
        }
        while (index > 0 && sorted[index - 1] == time) {
            index--;
        }
        return index;
    }
}
