package org.geraniumusher.experiments;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of their simulated time; ties run in the order of scheduling, so that a
 * run is repeatable. Not thread-safe.
 */
final class EventQueue {
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private long mNowNanos;
    private long mSequence;

    private record Event(long timeNanos, long sequence, Runnable action) {}

    long nowNanos() {
        return mNowNanos;
    }

    void after(long delayNanos, Runnable action) {
        checkArgument(delayNanos >= 0, "bad delayNanos: %s", delayNanos);
        mEvents.add(new Event(mNowNanos + delayNanos, mSequence++, action));
    }

    void at(long timeNanos, Runnable action) {
        after(timeNanos - mNowNanos, action);
    }

    void every(long periodNanos, Runnable action) {
        after(
                periodNanos,
                () -> {
                    action.run();
                    every(periodNanos, action);
                });
    }

    /** Runs all actions before {@code endNanos} and stops the clock there. */
    void runUntil(long endNanos) {
        while (!mEvents.isEmpty() && mEvents.peek().timeNanos() < endNanos) {
            Event event = mEvents.poll();
            mNowNanos = event.timeNanos();
            event.action().run();
        }
        mNowNanos = endNanos;
    }
}
