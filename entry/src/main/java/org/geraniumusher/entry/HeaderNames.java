package org.geraniumusher.entry;

/**
 * Names of the HTTP header fields that the router reads or sets. Immutable.
 *
 * @param requestId ID of one attempt of a caller
 * @param deadlineMillis time for which the sender still waits for the response, in milliseconds
 * @param signature signature of the backend server that sent the response
 * @param expectedServer ID of the server that may execute the request
 * @param notExecuted present if the server did not execute the request
 * @param serverId ID of the server that sent the response
 * @param load load report of the server that sent the response
 * @param key key of the request
 * @param handover token that a server returns when it releases keys and that lets their next owner
 *     start warm
 * @param serverLeaving present if the server that sent the response is leaving
 * @param serverLimit requests per second that the server which sent the response takes from all
 *     daemons together
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String signature,
        String expectedServer,
        String notExecuted,
        String serverId,
        String load,
        String key,
        String handover,
        String serverLeaving,
        String serverLimit) {}
