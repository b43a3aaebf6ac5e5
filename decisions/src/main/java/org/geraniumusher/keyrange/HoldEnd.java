package org.geraniumusher.keyrange;

/** Why an incarnation of a server no longer counts as a holder of a range. */
public enum HoldEnd {
    /** It has released the range and can take no late grant of it. */
    RELEASED,

    /** The longest hold that it may have has run out. */
    EXPIRED,

    /** It is proved to have terminated. */
    TERMINATED
}
