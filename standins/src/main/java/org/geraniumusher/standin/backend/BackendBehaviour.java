package org.geraniumusher.standin.backend;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Says how a stand-in of a backend server behaves. Immutable and thread-safe.
 *
 * @param slots requests executed at once when warm; more are refused as "not run"
 * @param coldSlots requests executed at once just after a start
 * @param warmUpRequests requests after which the server is warm
 * @param serviceMicros mean time of a request, in microseconds; the time varies by half
 * @param slowFactor factor on the service time
 * @param fenced whether grants and epochs are checked
 * @param dropEvery every n-th request runs and its connection is closed instead of answered; 0 for
 *     never
 */
public record BackendBehaviour(
        int slots,
        int coldSlots,
        int warmUpRequests,
        int serviceMicros,
        int slowFactor,
        boolean fenced,
        int dropEvery) {
    /** Refuses limits below one. */
    public BackendBehaviour {
        checkArgument(slots >= 1, "bad slots: %s", slots);
        checkArgument(coldSlots >= 1 && coldSlots <= slots, "bad coldSlots: %s", coldSlots);
        checkArgument(slowFactor >= 1, "bad slowFactor: %s", slowFactor);
    }

    /** Returns the behaviour of a fenced, warm server of the usual size. */
    public static BackendBehaviour ofDefaults() {
        return new BackendBehaviour(6, 6, 0, 4_000, 1, true, 0);
    }

    /** Returns a copy with another slow factor. */
    public BackendBehaviour withSlowFactor(int factor) {
        return new BackendBehaviour(
                slots, coldSlots, warmUpRequests, serviceMicros, factor, fenced, dropEvery);
    }

    /** Returns a copy with another time of a request. */
    public BackendBehaviour withServiceMicros(int micros) {
        return new BackendBehaviour(
                slots, coldSlots, warmUpRequests, micros, slowFactor, fenced, dropEvery);
    }

    /** Returns a copy that starts cold. */
    public BackendBehaviour withColdStart(int newColdSlots, int requests) {
        return new BackendBehaviour(
                slots, newColdSlots, requests, serviceMicros, slowFactor, fenced, dropEvery);
    }

    /** Returns a copy that loses answers. */
    public BackendBehaviour withDropEvery(int n) {
        return new BackendBehaviour(
                slots, coldSlots, warmUpRequests, serviceMicros, slowFactor, fenced, n);
    }
}
