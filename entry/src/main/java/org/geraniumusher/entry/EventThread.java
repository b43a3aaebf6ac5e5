package org.geraniumusher.entry;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks on the thread of the event loop, to which the state of the daemon is confined.
 * Thread-safe.
 */
interface EventThread {
    /**
     * Runs a task: at once if called on the thread of the event loop, otherwise as soon as it can.
     */
    void execute(Runnable task);

    /** Runs a task after a delay, unless the returned future is cancelled before. */
    ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit);
}
