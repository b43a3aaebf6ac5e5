package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.traffic.Drain;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Finds out which drains a restore of the store took back. Only daemons write drains, so nobody
 * else writes the lost ones again or ends those that came back. Not thread-safe.
 *
 * <p>Invariant: a drain is in force if it was the last time that the store showed its state, except
 * that a drain which was ended does not come back with the first list of a later epoch.
 */
final class DrainHistory {
    private static final int MAX_ENDED_DRAINS = 256;

    private final Map<String, Drain> mLost = new LinkedHashMap<>();
    private final Map<String, Long> mRevived = new HashMap<>();
    private final Map<String, Drain> mEnded =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Drain> eldest) {
                    return size() > MAX_ENDED_DRAINS;
                }
            };
    private ImmutableMap<String, Drain> mListed = ImmutableMap.of();
    private long mEpoch;

    /**
     * Processes the drains that the store has in an epoch.
     *
     * @param revisions revisions of the listed drains by name
     * @return the drains in force
     */
    ImmutableList<Drain> onListed(
            long epoch, Map<String, Drain> listed, Map<String, Long> revisions) {
        if (epoch > mEpoch) {
            mListed.forEach(mLost::put);
            mRevived.keySet().forEach(mLost::remove);
            mRevived.clear();
            listed.forEach(
                    (name, drain) -> {
                        if (drain.equals(mEnded.get(name))) {
                            mRevived.put(name, revisions.get(name));
                        }
                    });
        } else {
            mRevived.entrySet().removeIf(e -> !e.getValue().equals(revisions.get(e.getKey())));
            mListed.forEach(
                    (name, drain) -> {
                        if (!listed.containsKey(name)) {
                            mEnded.put(name, drain);
                        }
                    });
        }
        mEpoch = epoch;
        mListed = ImmutableMap.copyOf(listed);
        mLost.keySet().removeAll(listed.keySet());
        mEnded.keySet().removeIf(n -> listed.containsKey(n) && !mRevived.containsKey(n));
        ImmutableList.Builder<Drain> inForce = ImmutableList.builder();
        listed.values().stream().filter(d -> !mRevived.containsKey(d.name())).forEach(inForce::add);
        return inForce.addAll(mLost.values()).build();
    }

    /** Returns the drains in force that a restore took out of the store. */
    ImmutableList<Drain> lost() {
        return ImmutableList.copyOf(mLost.values());
    }

    /** Returns the ended drains that a restore brought back, with their revisions. */
    ImmutableMap<String, Long> revived() {
        return ImmutableMap.copyOf(mRevived);
    }

    /** Ends the drains that nobody has written to the store again. */
    void forgetLost() {
        mLost.clear();
    }
}
