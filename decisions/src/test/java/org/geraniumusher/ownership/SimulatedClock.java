package org.geraniumusher.ownership;

/** Shows a monotonic clock that starts anywhere and runs a little fast or slow. */
record SimulatedClock(long offsetNanos, double rate) {
    long at(long trueNanos) {
        return offsetNanos + (long) (trueNanos * rate);
    }
}
