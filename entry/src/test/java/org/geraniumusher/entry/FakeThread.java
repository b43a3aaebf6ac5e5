package org.geraniumusher.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks on the thread of the test, with a clock that the test advances. */
final class FakeThread implements EventThread {
    private final List<Task> mTasks = new ArrayList<>();
    private long mNow;

    long now() {
        return mNow;
    }

    @Override
    public void execute(Runnable task) {
        task.run();
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        Task scheduled = new Task(task, mNow + unit.toNanos(delay));
        mTasks.add(scheduled);
        return scheduled;
    }

    /** Advances the clock and runs what is due on the way. */
    void advance(long nanos) {
        long end = mNow + nanos;
        while (true) {
            Task next = mTasks.stream().min(Comparator.comparingLong(t -> t.mAt)).orElse(null);
            if (next == null || next.mAt > end) {
                break;
            }
            mTasks.remove(next);
            mNow = next.mAt;
            next.run();
        }
        mNow = end;
    }

    /** A task with the time at which it is due. */
    private static final class Task extends FutureTask<Void> implements ScheduledFuture<Void> {
        private final long mAt;

        Task(Runnable task, long at) {
            super(task, null);
            mAt = at;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(mAt, TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(mAt, ((Task) other).mAt);
        }
    }
}
