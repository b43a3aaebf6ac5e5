package org.geraniumusher.entry;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks on the thread of the test, on a clock that the test advances. Not thread-safe. */
final class FakeEventThread implements EventThread {
    private final Queue<Task> mTasks = new PriorityQueue<>();
    private long mNowNanos;
    private long mLastSequence;

    /** Returns the time of the clock in nanoseconds. */
    long now() {
        return mNowNanos;
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        Task scheduled = new Task(task, mNowNanos + unit.toNanos(delay), ++mLastSequence);
        mTasks.add(scheduled);
        return scheduled;
    }

    /** Forgets the tasks that are not due yet. */
    void clear() {
        mTasks.clear();
    }

    /** Advances the clock, running each task when it is due. */
    void advance(long nanos) {
        long endNanos = mNowNanos + nanos;
        while (!mTasks.isEmpty() && mTasks.peek().mDueNanos <= endNanos) {
            Task next = mTasks.remove();
            mNowNanos = Math.max(mNowNanos, next.mDueNanos);
            next.run();
        }
        mNowNanos = endNanos;
    }

    /** A scheduled task and the time, in nanoseconds, at which it is due. */
    private static final class Task extends FutureTask<Void> implements ScheduledFuture<Void> {
        private static final Comparator<Task> ORDER =
                Comparator.comparingLong((Task t) -> t.mDueNanos)
                        .thenComparingLong(t -> t.mSequence);

        private final long mDueNanos;

        /** Tasks that are due at the same time run in the order in which they were scheduled. */
        private final long mSequence;

        Task(Runnable task, long dueNanos, long sequence) {
            super(task, null);
            mDueNanos = dueNanos;
            mSequence = sequence;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(mDueNanos, TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return ORDER.compare(this, (Task) other);
        }
    }
}
