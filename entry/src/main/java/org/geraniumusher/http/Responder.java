package org.geraniumusher.http;

/**
 * Completes one request. Call exactly one of the methods, once; implementations allow this from any
 * thread.
 */
public interface Responder {
    /** Sends the response. */
    void reply(HttpReply reply);

    /** Closes the connection without sending a response. */
    void drop();
}
