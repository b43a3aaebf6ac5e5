package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

import java.util.Collection;
import java.util.OptionalLong;

/**
 * What a daemon knows from the coordinator about the time of the next owners of the ranges of one
 * service.
 *
 * <p>Load pattern: callers keep asking for the keys of a lost server, whose next owner comes later
 * than their requests can wait.
 *
 * <p>Invariant: a time that is returned is not later than the one that the coordinator named, also
 * if the message was on its way for as long as over a healthy link and the clocks drift. What the
 * coordinator does not repeat is forgotten, and so is what it said of an earlier fence. All times
 * are in nanoseconds. Not thread-safe.
 */
public final class NextOwnerTimes {
    /** Time for which a message is used, which covers the loss of two repetitions. */
    static final long VALID_NANOS = 3_000_000_000L;

    private ImmutableMap<Range, Long> mNotBefore = ImmutableMap.of();
    private long mReceivedAt;

    private record Range(int firstKey, long fence) {}

    private NextOwnerTimes() {}

    /** Returns an instance that knows no times. */
    public static NextOwnerTimes create() {
        return new NextOwnerTimes();
    }

    /** Replaces all times by those of a message, counted from its arrival. */
    public void replace(Collection<NextOwner> nextOwners, long nowNanos) {
        ImmutableMap.Builder<Range, Long> notBefore = ImmutableMap.builder();
        nextOwners.forEach(
                o ->
                        notBefore.put(
                                new Range(o.firstKey(), o.fence()),
                                HoldBounds.earliest(o.notBefore(), nowNanos)));
        mNotBefore = notBefore.buildKeepingLast();
        mReceivedAt = nowNanos;
    }

    /**
     * Returns the time before which the range of an assignment has no next owner, or empty if it is
     * not known or over.
     */
    public OptionalLong notBefore(Assignment assignment, long nowNanos) {
        checkNotNull(assignment);
        Long notBefore = mNotBefore.get(new Range(assignment.range().first(), assignment.fence()));
        return notBefore == null || notBefore <= nowNanos || nowNanos - mReceivedAt >= VALID_NANOS
                ? OptionalLong.empty()
                : OptionalLong.of(notBefore);
    }
}
