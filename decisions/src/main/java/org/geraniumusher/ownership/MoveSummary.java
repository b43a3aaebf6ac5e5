package org.geraniumusher.ownership;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Describes the moves between two states of a shard for the log. Not thread-safe. */
final class MoveSummary {
    /** Servers named in a line; a data centre that leaves may have hundreds. */
    private static final int MAX_NAMED = 6;

    private final Predicate<String> mIsLost;
    private final Predicate<String> mIsReceiver;
    private final Map<String, Integer> mSources = new TreeMap<>();
    private int mMoved;
    private int mPrepared;

    /**
     * Starts an empty summary.
     *
     * @param isLost tells the servers that count as lost
     * @param isReceiver tells the servers that may receive slices
     */
    MoveSummary(Predicate<String> isLost, Predicate<String> isReceiver) {
        mIsLost = isLost;
        mIsReceiver = isReceiver;
    }

    /** Returns the line, or an empty one when no slice moves. */
    String between(List<Slice> before, ShardState after) {
        for (int i = 0; i < before.size(); i++) {
            add(before.get(i), after.slices().get(i));
        }
        return mMoved + mPrepared == 0
                ? ""
                : "moving " + mMoved + " slices, preparing " + mPrepared + ": " + sources();
    }

    private void add(Slice before, Slice after) {
        boolean moved = before.epoch() != after.epoch();
        boolean prepared = !after.pending().isEmpty() && !before.pending().equals(after.pending());
        mMoved += moved ? 1 : 0;
        mPrepared += prepared ? 1 : 0;
        if (moved || prepared) {
            mSources.merge(before.owner(), 1, Integer::sum);
        }
    }

    private String sources() {
        List<String> texts = new ArrayList<>();
        mSources.forEach((server, count) -> texts.add(count + " " + sourceOf(server)));
        String named = String.join(", ", texts.subList(0, Math.min(MAX_NAMED, texts.size())));
        int rest = texts.size() - MAX_NAMED;
        return rest > 0 ? named + " and from " + rest + " more servers" : named;
    }

    private String sourceOf(String server) {
        if (server.isEmpty()) {
            return "without an owner";
        }
        String reason = "to even the load";
        if (mIsLost.test(server)) {
            reason = "lost";
        } else if (!mIsReceiver.test(server)) {
            reason = "out of service";
        }
        return "from " + server + " (" + reason + ")";
    }
}
