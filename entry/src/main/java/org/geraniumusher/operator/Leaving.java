package org.geraniumusher.operator;

/** Whether an incarnation of a backend server is leaving, and from what a daemon knows it. */
public enum Leaving {
    /** The server is not known to be leaving. */
    NO(""),
    /** The server said so in an answer to this daemon. */
    SAID("said in an answer"),
    /** The server said so in an answer to another daemon, which reported it. */
    SAID_ELSEWHERE("said in an answer to another daemon"),
    /** The entry of the server in the store says so. */
    ENTRY("reported by its entry"),
    /** The entry of the server was removed from the store. */
    ENTRY_REMOVED("its entry was removed");

    private final String mCause;

    Leaving(String cause) {
        mCause = cause;
    }

    /** Returns from what the daemon knows it, for the log. */
    public String cause() {
        return mCause;
    }

    /** Reports whether the server itself said so in an answer, whatever its entry says. */
    public boolean isOwnWord() {
        return this == SAID || this == SAID_ELSEWHERE;
    }
}
