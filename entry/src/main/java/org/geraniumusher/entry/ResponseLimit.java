package org.geraniumusher.entry;

import com.google.common.base.Ascii;

/** Limits of the response of a backend server. A response that exceeds one is not used. */
enum ResponseLimit {
    /** Bytes that are not the body: heads, chunk sizes, trailers and interim responses. */
    FRAMING,

    /** Bytes of the body. */
    BODY,

    /** Memory that the bodies of all incomplete responses take; the longest one is given up. */
    BUFFERED,

    /** Time after the deadline for which a request that must not be repeated may go on. */
    DEADLINE;

    /** Returns the name of the counter of responses that exceeded this limit. */
    String counterName() {
        return "responses.over_limit." + Ascii.toLowerCase(name());
    }
}
