package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Runs a task once for all requests that are made before it runs, after the tasks that the event
 * loop has already. Confined to the event loop.
 */
final class CoalescedTask {
    private final EventThread mThread;
    private final Runnable mTask;
    private boolean mRequested;

    CoalescedTask(EventThread thread, Runnable task) {
        mThread = checkNotNull(thread);
        mTask = checkNotNull(task);
    }

    /** Requests a run of the task, unless one is pending. */
    void request() {
        if (!mRequested) {
            mRequested = true;
            mThread.execute(this::run);
        }
    }

    private void run() {
        mRequested = false;
        mTask.run();
    }
}
