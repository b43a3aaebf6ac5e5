package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps what incarnations of servers asked for that are not listed any more, since the entry of an
 * incarnation can expire and be written again. Not thread-safe.
 *
 * <p>Invariant: an incarnation has the same needs for as long as it is listed or kept here. At most
 * {@link #MAX_INCARNATIONS} are kept; those without a need go first, then the oldest.
 */
public final class NeedsHistory {
    /** More than the servers whose entries expire during one outage of the store. */
    static final int MAX_INCARNATIONS = 4_096;

    /** Needs by incarnation ID, those of the one removed first coming first. */
    private final Map<String, StatedNeeds> mRemoved = new LinkedHashMap<>();

    /**
     * Returns the needs of an incarnation that is listed now, which are kept here no more.
     *
     * @param phase random number from 0 to 1 for an incarnation without known needs
     */
    public StatedNeeds onListed(String incarnationId, double phase) {
        StatedNeeds needs = mRemoved.remove(incarnationId);
        return needs == null ? StatedNeeds.none(phase) : needs;
    }

    /** Keeps the needs of an incarnation that is not listed any more. */
    public void onRemoved(String incarnationId, StatedNeeds needs, long nowNanos) {
        mRemoved.put(incarnationId, checkNotNull(needs));
        if (mRemoved.size() > MAX_INCARNATIONS) {
            mRemoved.values().removeIf(n -> !n.isActive(nowNanos));
        }
        if (mRemoved.size() > MAX_INCARNATIONS) {
            mRemoved.remove(mRemoved.keySet().iterator().next());
        }
    }
}
