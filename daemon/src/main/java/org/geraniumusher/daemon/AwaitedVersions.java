package org.geraniumusher.daemon;

import com.google.common.collect.ImmutableList;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Remembers the versions that operators wait for, each for a bounded time. Not thread-safe. */
final class AwaitedVersions {
    /** An operator's tool asks again while it waits, which prolongs the time. */
    private static final long LIFE_NANOS = Duration.ofSeconds(5).toNanos();

    private final Map<Long, Long> mUntilNanos = new TreeMap<>();

    void add(long nowNanos, long version) {
        mUntilNanos.put(version, nowNanos + LIFE_NANOS);
    }

    /** Returns and forgets the versions whose time is over. */
    ImmutableList<Long> expired(long nowNanos) {
        ImmutableList<Long> expired =
                mUntilNanos.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue() >= 0)
                        .map(Map.Entry::getKey)
                        .collect(ImmutableList.toImmutableList());
        expired.forEach(mUntilNanos::remove);
        return expired;
    }
}
