package org.geraniumusher.entry;

/**
 * Names the header fields that have a meaning to the router. Immutable.
 *
 * @param requestId id of one attempt of a caller
 * @param deadlineMillis how long the sender will wait
 * @param signature signature of a backend server on its response
 * @param expectedServer id of the server that may run the request
 * @param notExecuted present when the server did not run the request
 * @param serverId id of the server that answers
 * @param load load that the server reports
 * @param key key of the request
 * @param handover token with which the keys of a server go to the next one warm
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
        String handover) {}
