package org.geraniumusher.tool;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Determines when to poll next and when to give up. */
interface PollTimer {
    /**
     * Blocks until the next poll is due. Returns false at once if the time limit has passed or the
     * thread is interrupted.
     */
    boolean awaitNextPoll();

    /** Returns a timer that polls every 250 ms until {@code timeout} has passed. */
    static PollTimer create(Duration timeout) {
        long pollIntervalNanos = Duration.ofMillis(250).toNanos();
        long startNanos = System.nanoTime();
        return () -> {
            if (System.nanoTime() - startNanos >= timeout.toNanos() || Thread.interrupted()) {
                return false;
            }
            LockSupport.parkNanos(pollIntervalNanos);
            return true;
        };
    }
}
