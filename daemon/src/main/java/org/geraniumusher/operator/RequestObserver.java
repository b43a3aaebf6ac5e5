package org.geraniumusher.operator;

/** Takes the ends of requests on the thread of the duty decision. */
public interface RequestObserver {
    /** Takes the end of a request of a caller. */
    void ended(String route, boolean succeeded, long latencyNanos);
}
