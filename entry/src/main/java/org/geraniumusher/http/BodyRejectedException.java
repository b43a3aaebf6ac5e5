package org.geraniumusher.http;

/** Signals that the memory for the bodies of requests has no room for another one. Immutable. */
public final class BodyRejectedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, which would tell nothing about the cause. */
    BodyRejectedException(String message) {
        super(message, null, false, false);
    }
}
