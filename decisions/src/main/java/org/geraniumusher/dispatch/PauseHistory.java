package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps the pauses of incarnations of servers that are not listed any more, since the entry of an
 * incarnation can expire and be written again. Not thread-safe.
 *
 * <p>Invariant: an incarnation has one pause for as long as it is listed or kept here. At most
 * {@link #MAX_INCARNATIONS} are kept; those whose pause is over go first, then the oldest.
 */
public final class PauseHistory {
    /** More than the servers whose entries expire during one outage of the store. */
    static final int MAX_INCARNATIONS = 4_096;

    /** Pauses by incarnation ID, that of the one removed first coming first. */
    private final Map<String, ServerPause> mRemoved = new LinkedHashMap<>();

    /** Returns the pause of an incarnation that is listed now, which is kept here no more. */
    public ServerPause onListed(String incarnationId) {
        ServerPause pause = mRemoved.remove(incarnationId);
        return pause == null ? new ServerPause() : pause;
    }

    /** Keeps the pause of an incarnation that is not listed any more. */
    public void onRemoved(String incarnationId, ServerPause pause, long nowNanos) {
        mRemoved.put(incarnationId, checkNotNull(pause));
        if (mRemoved.size() > MAX_INCARNATIONS) {
            mRemoved.values().removeIf(p -> !p.isActive(nowNanos));
        }
        if (mRemoved.size() > MAX_INCARNATIONS) {
            mRemoved.remove(mRemoved.keySet().iterator().next());
        }
    }
}
