package org.geraniumusher.entry;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks on the one thread that owns the state of the daemon. Thread-safe. */
interface EventThread {
    /** Runs a task soon. */
    void execute(Runnable task);

    /** Runs a task after a delay. */
    ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit);
}
