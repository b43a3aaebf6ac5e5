package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects that an incarnation of a server has terminated, so that its keys can be given to another
 * server before its hold runs out.
 *
 * <p>Invariant: a server that may still process requests is never reported as terminated. A leaving
 * server stops listening before its last requests have ended, so refused connections prove nothing
 * if the server is leaving, or if its entry is missing, out of date or restored from a backup. A
 * server at its connection limit resets new connections, some of which look refused to the caller,
 * and accepts others in between. Not thread-safe.
 */
public final class TerminationDetector {
    /**
     * Consecutive refused connections that prove a termination. A server over its connection limit
     * refused one connection in six; at that rate four in a row occur about once in a thousand
     * overloads.
     */
    private static final int MIN_REFUSALS = 4;

    /**
     * Refusals closer together than this count as one, because calls that are sent together see the
     * same momentary state of the server.
     */
    private static final long MIN_REFUSAL_INTERVAL_NANOS = 250_000_000L;

    private final Map<String, Refusals> mRefusals = new HashMap<>();

    private record Refusals(int count, long lastAt) {}

    private TerminationDetector() {}

    /** Returns a detector without observations. */
    public static TerminationDetector create() {
        return new TerminationDetector();
    }

    /** Forgets all refusals, after a restore of the store that took back entries of servers. */
    public void reset() {
        mRefusals.clear();
    }

    /** Records that a server answered, or accepted a connection before it closed it. */
    public void onAnswered(String incarnationId) {
        mRefusals.remove(checkNotNull(incarnationId));
    }

    /**
     * Records that a server refused a connection; returns whether this proves its termination.
     *
     * @param listedAsReady whether a read of the store after the refusal lists this incarnation as
     *     not leaving
     */
    public boolean onConnectionRefused(String incarnationId, boolean listedAsReady, long nowNanos) {
        if (!listedAsReady) {
            mRefusals.remove(incarnationId);
            return false;
        }
        Refusals previous = mRefusals.get(incarnationId);
        if (previous == null || nowNanos - previous.lastAt() >= MIN_REFUSAL_INTERVAL_NANOS) {
            int count = previous == null ? 1 : previous.count() + 1;
            mRefusals.put(incarnationId, new Refusals(count, nowNanos));
        }
        return mRefusals.get(incarnationId).count() >= MIN_REFUSALS;
    }
}
