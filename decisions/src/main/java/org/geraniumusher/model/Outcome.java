package org.geraniumusher.model;

/** States what is known about a request's execution at a backend server. */
public enum Outcome {
    /** The request certainly did not run. */
    NOT_RUN("not-run"),
    /** The request ran and this is its response. */
    RAN("ran"),
    /** The request may or may not have run. */
    UNKNOWN("unknown");

    private final String mText;

    Outcome(String text) {
        mText = text;
    }

    /** Returns the value of the response header {@code geraniumusher-outcome}. */
    public String text() {
        return mText;
    }
}
