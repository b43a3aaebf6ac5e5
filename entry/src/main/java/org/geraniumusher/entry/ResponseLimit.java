package org.geraniumusher.entry;

import com.google.common.base.Ascii;

/** Limits of the response of a backend server. A response that exceeds one is not used. */
enum ResponseLimit {
    /** Bytes that are not the body: heads, chunk sizes, trailers and interim responses. */
    FRAMING;

    /** Returns the name of the counter of responses that exceeded this limit. */
    String counterName() {
        return "responses.over_limit." + Ascii.toLowerCase(name());
    }
}
