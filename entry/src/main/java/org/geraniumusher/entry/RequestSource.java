package org.geraniumusher.entry;

/** Who sent a request to this daemon. */
enum RequestSource {
    /** A caller. */
    CALLER,
    /** A daemon that could not send the request of its caller to a server. */
    PEER
}
