package org.geraniumusher.model;

/** Whether a backend server executed a request, as far as is known. */
public enum Outcome {
    /** The request was definitely not executed. */
    NOT_RUN("not-run"),
    /** The request was executed and this is its response. */
    RAN("ran"),
    /** The request may or may not have been executed. */
    UNKNOWN("unknown");

    private final String mText;

    Outcome(String text) {
        mText = text;
    }

    /** Returns the value of the field {@code outcome} in the JSON body of an error. */
    public String text() {
        return mText;
    }
}
