package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertWithMessage;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps one object with versions and conditional updates, and checks that an acknowledged
 * assignment is neither lost nor replaced by an older epoch.
 */
final class SimulatedStore {
    private Optional<VersionedState> mState = Optional.empty();
    private boolean mUp = true;
    private int mWrites;
    private final Map<Long, Slice> mAcknowledged = new HashMap<>();

    void setUp(boolean up) {
        mUp = up;
    }

    boolean isUp() {
        return mUp;
    }

    int writes() {
        return mWrites;
    }

    Optional<VersionedState> state() {
        return mState;
    }

    /**
     * Returns the new version, or nothing after a conflict. Versions have gaps, as in the store.
     */
    Optional<Long> write(long expected, ShardState state) {
        if (mState.map(VersionedState::version).orElse(0L) != expected) {
            return Optional.empty();
        }
        mWrites++;
        mState = Optional.of(new VersionedState(expected + 1 + mWrites % 3, state));
        checkAcknowledged();
        return Optional.of(mState.get().version());
    }

    void acknowledge(ShardState state) {
        for (Slice slice : state.slices()) {
            mAcknowledged.merge(slice.first(), slice, (a, b) -> b.epoch() >= a.epoch() ? b : a);
        }
        checkAcknowledged();
    }

    private void checkAcknowledged() {
        for (Slice slice : mState.get().state().slices()) {
            Slice old = mAcknowledged.getOrDefault(slice.first(), slice);
            assertWithMessage("epoch of %s", slice).that(slice.epoch()).isAtLeast(old.epoch());
            if (old.epoch() == slice.epoch()) {
                assertWithMessage("owner of %s", slice).that(slice.owner()).isEqualTo(old.owner());
            }
        }
    }
}
