package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Guards against a coordinator that looks at all ranges for each of the results that arrive
 * together, and stalls the event loop for over a second.
 */
final class CoalescedTaskTest {
    private final Deque<Runnable> mQueue = new ArrayDeque<>();
    private final EventThread mThread =
            new EventThread() {
                @Override
                public void execute(Runnable task) {
                    mQueue.add(task);
                }

                @Override
                public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
                    throw new UnsupportedOperationException();
                }
            };
    private int mRuns;
    private final CoalescedTask mTask = new CoalescedTask(mThread, () -> mRuns++);

    private void runQueue() {
        while (!mQueue.isEmpty()) {
            mQueue.remove().run();
        }
    }

    @Test
    void request_manyResultsAreQueued_runsOnceAfterThem() {
        for (int i = 0; i < 75; i++) {
            mQueue.add(mTask::request);
        }

        runQueue();

        assertThat(mRuns).isEqualTo(1);
    }

    @Test
    void request_afterRun_runsAgain() {
        mTask.request();
        runQueue();

        mTask.request();
        runQueue();

        assertThat(mRuns).isEqualTo(2);
    }
}
