package org.geraniumusher.keyrange;

import java.util.PriorityQueue;

/** The events of a simulation, in the order of their times. Not thread-safe. */
final class EventQueue {
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mSequence;

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at
                    ? Long.compare(at, other.at)
                    : Long.compare(sequence, other.sequence);
        }
    }

    void add(long atNanos, Runnable task) {
        mEvents.add(new Event(atNanos, mSequence++, task));
    }

    /** Returns the time of the next event, or {@link Long#MAX_VALUE} if there is none. */
    long nextAt() {
        return mEvents.isEmpty() ? Long.MAX_VALUE : mEvents.peek().at;
    }

    /** Removes the next event, of which there must be one, and returns its task. */
    Runnable poll() {
        return mEvents.remove().task;
    }
}
