package org.geraniumusher.tool;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Paces the polls of a wait. */
interface Pacer {
    /** Waits until the next poll is due; returns false when the time is up. */
    boolean awaitNext();

    /** Returns a pacer that polls every 250 ms until {@code timeout} has passed. */
    static Pacer create(Duration timeout) {
        long pollNanos = Duration.ofMillis(250).toNanos();
        long start = System.nanoTime();
        return () -> {
            if (System.nanoTime() - start >= timeout.toNanos() || Thread.interrupted()) {
                return false;
            }
            LockSupport.parkNanos(pollNanos);
            return true;
        };
    }
}
