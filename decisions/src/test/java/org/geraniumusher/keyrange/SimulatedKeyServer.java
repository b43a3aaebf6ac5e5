package org.geraniumusher.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A backend server that checks fences, as the platform describes it. Not thread-safe. */
final class SimulatedKeyServer {
    private final String mLife;
    private final double mClockRate;
    private final List<Hold> mHolds = new ArrayList<>();
    private final List<Seen> mSeen = new ArrayList<>();
    private boolean mUp = true;

    private record Hold(KeyRange range, long until) {}

    private record Seen(KeyRange range, long fence) {}

    /** Creates a server whose clock runs at {@code clockRate} of the true time. */
    SimulatedKeyServer(String life, double clockRate) {
        mLife = life;
        mClockRate = clockRate;
    }

    String life() {
        return mLife;
    }

    boolean isUp() {
        return mUp;
    }

    void crash() {
        mUp = false;
        mHolds.clear();
    }

    /** Carries a grant out; its time runs from its arrival. Returns false when fenced. */
    boolean grant(KeyRange range, long fence, long holdNanos, long arrivedAt) {
        if (mSeen.stream().anyMatch(s -> s.range.overlaps(range) && s.fence > fence)) {
            return false;
        }
        mSeen.removeIf(s -> range.encloses(s.range));
        mSeen.add(new Seen(range, fence));
        mHolds.removeIf(h -> range.encloses(h.range) && h.until <= endOf(holdNanos, arrivedAt));
        mHolds.add(new Hold(range, endOf(holdNanos, arrivedAt)));
        return true;
    }

    private long endOf(long holdNanos, long arrivedAt) {
        return arrivedAt + (long) (holdNanos / mClockRate);
    }

    /** Carries a release out; does not raise the fence, which the platform does not promise. */
    Optional<String> release(KeyRange range) {
        List<Hold> kept = new ArrayList<>();
        for (Hold hold : mHolds) {
            addPart(kept, hold, hold.range.first(), Math.min(hold.range.last(), range.first() - 1));
            addPart(kept, hold, Math.max(hold.range.first(), range.last() + 1), hold.range.last());
        }
        mHolds.clear();
        mHolds.addAll(kept);
        return Optional.of("handover-" + mLife);
    }

    private static void addPart(List<Hold> kept, Hold hold, int first, int last) {
        if (first <= last) {
            kept.add(new Hold(new KeyRange(first, last), hold.until));
        }
    }

    /** Returns the ranges held at a time. */
    List<KeyRange> held(long nowNanos) {
        mHolds.removeIf(h -> h.until <= nowNanos);
        return mHolds.stream().filter(h -> h.until > nowNanos).map(Hold::range).toList();
    }
}
