package org.geraniumusher.http;

/** Answers one call, once, from any thread. */
public interface Responder {
    /** Sends a whole reply. */
    void reply(HttpReply reply);

    /** Closes the connection without a reply. */
    void drop();
}
