package org.geraniumusher.traffic;

/** Whether the requests of a route may be executed more than once. Immutable. */
public enum RequestKind {
    /** A request may be executed more than once. */
    IDEMPOTENT,
    /** A request may be executed at most once each time that the caller sends it. */
    AT_MOST_ONCE;

    /** Returns whether a request that may have been executed may be sent again. */
    public boolean mayRepeat() {
        return this == IDEMPOTENT;
    }
}
