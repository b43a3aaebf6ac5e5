package org.geraniumusher.traffic;

/** Tells what may be repeated. Immutable. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** May run at most once for each attempt of the caller. */
    AT_MOST_ONCE;

    /** Reports whether a request that may have run may be sent again. */
    public boolean mayRepeat() {
        return this == IDEMPOTENT;
    }
}
