package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a life of a server is proved to have ended, so that its keys need not wait for its
 * hold.
 *
 * <p>Invariant: a server that may still work on requests is not taken to have ended. One that
 * leaves stops listening before its last requests have ended, so refused connections prove nothing
 * of a server that is leaving, or whose entry is missing or out of date. Not thread-safe.
 */
public final class EndProofs {
    /** Refused connections in a row that count; a single one may be a full queue. */
    private static final int REFUSALS = 2;

    private final Map<String, Integer> mRefusals = new HashMap<>();

    private EndProofs() {}

    /** Returns proofs of which nothing is known yet. */
    public static EndProofs create() {
        return new EndProofs();
    }

    /** Notes that a server answered. */
    public void onAnswered(String life) {
        mRefusals.remove(checkNotNull(life));
    }

    /**
     * Notes that a server refused a connection; returns whether that proves its end.
     *
     * @param listedAsReady whether a read of the store after the refusal lists this life as one
     *     that is not leaving
     */
    public boolean onConnectionRefused(String life, boolean listedAsReady) {
        if (!listedAsReady) {
            mRefusals.remove(life);
            return false;
        }
        return mRefusals.merge(life, 1, Integer::sum) >= REFUSALS;
    }
}
