package org.geraniumusher.ownership;

/** States whether a backend server may run a keyed request; each refusal means "not run". */
public enum Admission {
    /** The request may run. */
    ADMITTED,
    /** The server holds no grant of the service. */
    NO_GRANT,
    /** The last grant has expired. */
    EXPIRED,
    /** The grant does not cover the key. */
    NOT_OWNED,
    /** The request was sent under another assignment of the slice. */
    WRONG_EPOCH;

    /** Reports whether the request may run. */
    public boolean isAdmitted() {
        return this == ADMITTED;
    }
}
