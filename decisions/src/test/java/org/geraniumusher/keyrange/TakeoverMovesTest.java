package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.keyrange.CoordinatorElection.FormerCoordinators;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Guards against keys that stay on overloaded servers after the coordinator has changed. */
final class TakeoverMovesTest {
    private static final long MILLI = 1_000_000L;
    private static final long TERM_START = 20_000 * MILLI;
    private static final int SERVERS = 32;
    private static final int KEYS_PER_SERVER = (KeyRange.MAX_KEY + 1) / SERVERS;

    /** As many as may move at the same time. */
    private static final int MOVING = 4;

    private final RecordedCalls mCalls = new RecordedCalls();
    private final KeyLoad mLoad = KeyLoad.create(TERM_START);
    private final RangeCoordinator mCoordinator =
            RangeCoordinator.create(mCalls, 10_000 * MILLI, mLoad, FormerHolders.create());

    private static String server(int index) {
        return String.format("s%02d", index % SERVERS);
    }

    /** Returns a table in which the ranges of the first servers move to their neighbours. */
    private static RangeTable tableWithMoves() {
        List<Assignment> assignments = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            int first = i * KEYS_PER_SERVER;
            KeyRange range = new KeyRange(first, first + KEYS_PER_SERVER - 1);
            assignments.add(
                    i < MOVING
                            ? new Assignment(range, server(i + 1), 5, ImmutableList.of(server(i)))
                            : new Assignment(range, server(i), 5, ImmutableList.of()));
        }
        return RangeTable.of(new StoreVersion(0, 5), assignments);
    }

    /** Starts a term with a table in which ranges move, and grants all others. */
    private void startTermWithMoves() {
        List<RangeServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new RangeServer(server(i), 6, true));
        }
        mCoordinator.onServers(servers);
        mCoordinator.start(
                Optional.of(tableWithMoves()),
                new FormerCoordinators(TERM_START, TERM_START),
                TERM_START);
        mCoordinator.tick(TERM_START);
        mCoordinator.onWritten(new StoreVersion(0, 10), TERM_START);
        mCoordinator.tick(TERM_START);
        List.copyOf(mCalls.grants()).forEach(g -> mCoordinator.onGranted(g, TERM_START + MILLI));
        assertThat(mCalls.grants()).hasSize(SERVERS - MOVING);
    }

    private void loadKeysOf(int server) {
        int first = server * KEYS_PER_SERVER;
        for (int key = first; key < first + 40; key++) {
            mLoad.add(key, 0.3, TERM_START + MILLI);
        }
    }

    /**
     * For 10 s, in which the moves of the former coordinator waited for its holds, no key left an
     * overloaded server.
     */
    @Test
    void tick_movesOfFormerCoordinatorWaitForItsHolds_hotKeysMove() {
        startTermWithMoves();
        loadKeysOf(SERVERS - 1);

        mCoordinator.tick(TERM_START + 800 * MILLI);

        List<Assignment> written = mCalls.writes().get(mCalls.writes().size() - 1);
        assertThat(
                        written.stream()
                                .filter(a -> a.previous().contains(server(SERVERS - 1)))
                                .toList())
                .isNotEmpty();
    }

    /** A move of a range whose grant was given up leaves its keys without an owner for a hold. */
    @Test
    void tick_grantsWereGivenUpAndRepeated_noMoreThanTheLimitMove() {
        startTermWithMoves();
        long renewal = TERM_START + 1_100 * MILLI;
        mCoordinator.setLossesHeldBack(true);
        mCalls.grants().clear();
        mCoordinator.tick(renewal);
        List<Assignment> renewed = List.copyOf(mCalls.grants());
        renewed.forEach(g -> mCoordinator.onGrantUnknown(g, renewal + 500 * MILLI));
        mCoordinator.tick(renewal + 900 * MILLI);
        renewed.forEach(g -> mCoordinator.onGranted(g, renewal + 910 * MILLI));
        mCoordinator.setLossesHeldBack(false);
        for (int i = 2 * MOVING; i < SERVERS; i += 2) {
            loadKeysOf(i);
        }

        for (int i = 1; i <= 3; i++) {
            long now = renewal + (900 + i * 800) * MILLI;
            mCoordinator.tick(now);
            mCoordinator.onWritten(new StoreVersion(0, 10 + i), now + MILLI);
        }

        assertThat(movingRanges()).isAtMost(2 * MOVING);
    }

    private long movingRanges() {
        return mCoordinator.table().orElseThrow().assignments().stream()
                .filter(Assignment::isMoving)
                .count();
    }

    /** Moves that can end at any time count, so that a wrong load disturbs only a part of them. */
    @Test
    void tick_ownMovesAreInProgress_noMoreThanTheLimitMove() {
        startTermWithMoves();
        for (int i = 2 * MOVING; i < SERVERS; i += 2) {
            loadKeysOf(i);
        }

        for (int i = 1; i <= 4; i++) {
            mCoordinator.tick(TERM_START + i * 800 * MILLI);
            mCoordinator.onWritten(
                    new StoreVersion(0, 10 + i), TERM_START + i * 800 * MILLI + MILLI);
        }

        assertThat(movingRanges()).isAtMost(2 * MOVING);
    }
}
