package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Guards the order of writes, releases and grants. */
final class RangeCoordinatorTest {
    private static final long MILLI = 1_000_000L;
    private static final long FENCE = 5;

    private final Calls mCalls = new Calls();
    private final RangeCoordinator mCoordinator =
            RangeCoordinator.create(mCalls, 10_000 * MILLI, KeyLoad.create(0));

    /** Notes the calls that the coordinator asks for. */
    private static final class Calls implements RangeCoordinator.Port {
        private final List<ImmutableList<Assignment>> mWrites = new ArrayList<>();
        private final List<Assignment> mGrants = new ArrayList<>();
        private final List<String> mReleases = new ArrayList<>();

        @Override
        public void write(ImmutableList<Assignment> assignments, long expectedRevision) {
            mWrites.add(assignments);
        }

        @Override
        public void grant(Assignment assignment, long holdNanos, Optional<String> handover) {
            mGrants.add(assignment);
        }

        @Override
        public void release(String life, KeyRange range, long fence) {
            mReleases.add(life);
        }

        List<String> grantedOwners() {
            return mGrants.stream().map(Assignment::owner).toList();
        }
    }

    private void servers(String... lives) {
        mCoordinator.onServers(
                Stream.of(lives).map(life -> new RangeServer(life, 6, true)).toList());
    }

    /** Starts a term in which all keys move from a to b. */
    private void startMove() {
        servers("b", "c");
        Assignment moving = new Assignment(KeyRange.ALL, "b", FENCE, ImmutableList.of("a"));
        mCoordinator.start(Optional.of(RangeTable.of(FENCE, ImmutableList.of(moving))), 0);
        mCoordinator.tick(0);
        mCoordinator.onWritten(10, MILLI);
    }

    @Test
    void tick_moving_grantsOnlyAfterTheRelease() {
        startMove();
        mCoordinator.tick(2 * MILLI);
        assertThat(mCalls.mReleases).containsExactly("a");
        assertThat(mCalls.mGrants).isEmpty();

        mCoordinator.onReleased("a", KeyRange.ALL, 10, Optional.of("h"));
        mCoordinator.tick(3 * MILLI);

        assertThat(mCalls.grantedOwners()).containsExactly("b");
    }

    /**
     * The new owner leaves before it is granted the keys. While the write that names the next owner
     * is in flight, a grant to the former would not be known to it: two servers would hold the
     * keys.
     */
    @Test
    void tick_ownerIsReplacedByWriteInFlight_formerIsNotGranted() {
        startMove();
        mCoordinator.tick(2 * MILLI);
        servers("c");
        mCoordinator.tick(3 * MILLI);
        assertThat(mCalls.mWrites).hasSize(2);

        mCoordinator.onReleased("a", KeyRange.ALL, 10, Optional.empty());
        mCoordinator.tick(4 * MILLI);
        assertThat(mCalls.mGrants).isEmpty();

        mCoordinator.onWritten(11, 5 * MILLI);
        mCoordinator.tick(6 * MILLI);
        assertThat(mCalls.grantedOwners()).doesNotContain("b");
    }

    /** A store that does not answer must not keep a move from its end. */
    @Test
    void tick_otherWriteIsInFlight_releasedKeysAreGranted() {
        startMove();
        mCoordinator.tick(2 * MILLI);
        assertThat(mCalls.mWrites).hasSize(1);

        mCoordinator.onReleased("a", KeyRange.ALL, 10, Optional.empty());
        mCoordinator.tick(3 * MILLI);
        mCoordinator.onGranted(mCalls.mGrants.get(0), 4 * MILLI);
        mCoordinator.tick(5 * MILLI);
        assertThat(mCalls.mWrites).hasSize(2);

        mCoordinator.tick(1_500 * MILLI);
        assertThat(mCalls.grantedOwners()).containsExactly("b", "b");
    }
}
