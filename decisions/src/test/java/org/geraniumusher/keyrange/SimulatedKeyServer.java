package org.geraniumusher.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A simulated backend server that checks fences as the platform describes it. Not thread-safe. */
final class SimulatedKeyServer {
    private final String mIncarnationId;
    private final double mClockRate;
    private final List<Hold> mHolds = new ArrayList<>();
    private final List<SeenFence> mSeenFences = new ArrayList<>();
    private final List<Work> mWork = new ArrayList<>();
    private boolean mUp = true;

    private record Hold(KeyRange range, long end) {}

    private record SeenFence(KeyRange range, long fence) {}

    /** A request in progress, with the end of the longest hold on its key since it began. */
    private record Work(int key, long end, long holdEnd) {}

    /** Creates a server whose clock runs at {@code clockRate} of the true rate. */
    SimulatedKeyServer(String incarnationId, double clockRate) {
        mIncarnationId = incarnationId;
        mClockRate = clockRate;
    }

    String incarnationId() {
        return mIncarnationId;
    }

    boolean isUp() {
        return mUp;
    }

    void crash() {
        mUp = false;
        mHolds.clear();
        mWork.clear();
    }

    /**
     * Processes a grant, whose hold starts at its arrival. Returns false if a higher fence was
     * seen.
     */
    boolean grant(KeyRange range, long fence, long holdNanos, long arrivedAt) {
        if (mSeenFences.stream().anyMatch(s -> s.range.overlaps(range) && s.fence > fence)) {
            return false;
        }
        mSeenFences.removeIf(s -> range.encloses(s.range));
        mSeenFences.add(new SeenFence(range, fence));
        mHolds.removeIf(h -> range.encloses(h.range) && h.end <= holdEnd(holdNanos, arrivedAt));
        mHolds.add(new Hold(range, holdEnd(holdNanos, arrivedAt)));
        mWork.replaceAll(
                w ->
                        range.contains(w.key)
                                ? new Work(
                                        w.key,
                                        w.end,
                                        Math.max(w.holdEnd, holdEnd(holdNanos, arrivedAt)))
                                : w);
        return true;
    }

    /** Begins a request for a key that the server holds; does nothing if it holds it not. */
    void begin(int key, long durationNanos, long nowNanos) {
        mHolds.stream()
                .filter(h -> h.range.contains(key) && h.end > nowNanos)
                .mapToLong(Hold::end)
                .max()
                .ifPresent(holdEnd -> mWork.add(new Work(key, nowNanos + durationNanos, holdEnd)));
    }

    /** Returns when the requests in progress on keys of a range have ended. */
    long workEnd(KeyRange range, long nowNanos) {
        return mWork.stream()
                .filter(w -> range.contains(w.key))
                .mapToLong(Work::end)
                .reduce(nowNanos, Math::max);
    }

    /** Reports whether a request for a key of a range is in progress within its hold. */
    boolean isAtWork(KeyRange range, long nowNanos) {
        mWork.removeIf(w -> w.end <= nowNanos || w.holdEnd <= nowNanos);
        return mWork.stream().anyMatch(w -> range.contains(w.key));
    }

    /** Returns when the hold of a grant ends that arrives at {@code arrivedAt}. */
    long holdEnd(long holdNanos, long arrivedAt) {
        return arrivedAt + (long) (holdNanos / mClockRate);
    }

    /**
     * Processes a release. Does not raise the fence, because the platform does not promise that.
     */
    Optional<String> release(KeyRange range) {
        List<Hold> kept = new ArrayList<>();
        for (Hold hold : mHolds) {
            addPart(kept, hold, hold.range.first(), Math.min(hold.range.last(), range.first() - 1));
            addPart(kept, hold, Math.max(hold.range.first(), range.last() + 1), hold.range.last());
        }
        mHolds.clear();
        mHolds.addAll(kept);
        return Optional.of("handover-" + mIncarnationId);
    }

    private static void addPart(List<Hold> kept, Hold hold, int first, int last) {
        if (first <= last) {
            kept.add(new Hold(new KeyRange(first, last), hold.end));
        }
    }

    /** Returns the ranges held at {@code nowNanos}. */
    List<KeyRange> held(long nowNanos) {
        mHolds.removeIf(h -> h.end <= nowNanos);
        return mHolds.stream().filter(h -> h.end > nowNanos).map(Hold::range).toList();
    }
}
