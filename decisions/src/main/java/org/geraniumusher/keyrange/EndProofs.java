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
 * of a server that is leaving, or whose entry is missing or out of date. One with too many
 * connections resets new ones, and some of these are seen as refused; it accepts others in between.
 * Not thread-safe.
 */
public final class EndProofs {
    /**
     * Refused connections in a row that count. A server that was over its limit refused one in six
     * (willowgate, hunt-174d-27), so four in a row are seen about once in a thousand such times.
     */
    private static final int REFUSALS = 4;

    /** Calls that are made together meet the same moment of the server and count once. */
    private static final long PAUSE_NANOS = 250_000_000L;

    private final Map<String, Refusals> mRefusals = new HashMap<>();

    private record Refusals(int count, long lastAt) {}

    private EndProofs() {}

    /** Returns proofs of which nothing is known yet. */
    public static EndProofs create() {
        return new EndProofs();
    }

    /** Notes that a server answered, or accepted a connection before it closed it. */
    public void onAnswered(String life) {
        mRefusals.remove(checkNotNull(life));
    }

    /**
     * Notes that a server refused a connection; returns whether that proves its end.
     *
     * @param listedAsReady whether a read of the store after the refusal lists this life as one
     *     that is not leaving
     */
    public boolean onConnectionRefused(String life, boolean listedAsReady, long nowNanos) {
        if (!listedAsReady) {
            mRefusals.remove(life);
            return false;
        }
        Refusals known = mRefusals.get(life);
        if (known == null || nowNanos - known.lastAt() >= PAUSE_NANOS) {
            int count = known == null ? 1 : known.count() + 1;
            mRefusals.put(life, new Refusals(count, nowNanos));
        }
        return mRefusals.get(life).count() >= REFUSALS;
    }
}
