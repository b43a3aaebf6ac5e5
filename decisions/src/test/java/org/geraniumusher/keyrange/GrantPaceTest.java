package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.keyrange.CoordinatorElection.FormerCoordinators;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Guards against a coordinator on a slow machine that sends the grants of all ranges at once, sees
 * the answers after their time limit, and takes the servers for lost.
 */
final class GrantPaceTest {
    private static final long MILLI = 1_000_000L;
    private static final long TICK = 100 * MILLI;
    private static final int RANGES = 384;

    /** Hold by a former coordinator. */
    private static final long HOLD = 3_000 * MILLI;

    /** Ticks within which all ranges must be granted, as renewals are due each second. */
    private static final int MAX_TICKS = 7;

    private final RecordedCalls mCalls = new RecordedCalls();
    private final RangeCoordinator mCoordinator =
            RangeCoordinator.create(
                    mCalls, 10_000 * MILLI, KeyLoad.create(0), FormerHolders.create());

    /** Starts a term with a table in which the last ranges move from a server that is gone. */
    private void startTerm(int moving) {
        int size = (KeyRange.MAX_KEY + 1) / RANGES;
        List<Assignment> assignments = new ArrayList<>();
        List<RangeServer> servers = new ArrayList<>();
        for (int i = 0; i < RANGES; i++) {
            int last = i == RANGES - 1 ? KeyRange.MAX_KEY : (i + 1) * size - 1;
            ImmutableList<String> previous =
                    i < RANGES - moving ? ImmutableList.of() : ImmutableList.of("gone");
            assignments.add(new Assignment(new KeyRange(i * size, last), "s" + i, 5, previous));
            servers.add(new RangeServer("s" + i, 6, true));
        }
        mCoordinator.onServers(servers);
        mCoordinator.setFormerReport(
                new HoldReport(
                        assignments.stream()
                                .filter(a -> !a.isMoving())
                                .map(a -> new HoldReport.Entry(a.range(), a.owner(), HOLD, HOLD))
                                .collect(ImmutableList.toImmutableList())));
        mCoordinator.start(
                Optional.of(RangeTable.of(new StoreVersion(0, 5), assignments)),
                new FormerCoordinators(0, 0),
                0);
        mCoordinator.tick(0);
        mCoordinator.onWritten(new StoreVersion(0, 10), 0);
        mCalls.clear();
    }

    @Test
    void tick_allRangesAreDue_grantsAreSpreadOverTicks() {
        startTerm(0);

        int sent = 0;
        for (int i = 0; i < MAX_TICKS; i++) {
            mCoordinator.tick(i * TICK);
            assertThat(mCalls.grants().size() - sent).isAtMost(RANGES / 4);
            sent = mCalls.grants().size();
            // A result lets the coordinator send what is due.
            mCoordinator.tick(i * TICK + MILLI);
        }

        assertThat(mCalls.grantedOwners().stream().distinct().count()).isEqualTo(RANGES);
    }

    /** Renewals can wait, as their owners still hold the keys. */
    @Test
    void tick_rangesHaveNoHolder_areGrantedFirst() {
        startTerm(10);

        mCoordinator.tick(0);

        assertThat(mCalls.grantedOwners()).containsAtLeast("s" + (RANGES - 1), "s" + (RANGES - 10));
    }

    /** Servers that refuse connections are called again soon, and must leave calls to others. */
    @Test
    void tick_serversRefuseConnections_othersAreRenewedInTime() {
        startTerm(0);
        int refusing = RANGES / 2;
        long now = 0;
        for (int i = 0; i < 40; i++, now += TICK) {
            mCalls.clear();
            mCoordinator.tick(now);
            for (Assignment grant : List.copyOf(mCalls.grants())) {
                if (isAt(grant.owner(), refusing)) {
                    mCoordinator.onGranted(grant, now);
                } else {
                    mCoordinator.onGrantNotSent(grant, now);
                }
            }
        }

        long firstEnd =
                mCoordinator.holdReport().orElseThrow().entries().stream()
                        .filter(e -> isAt(e.incarnationId(), refusing))
                        .mapToLong(HoldReport.Entry::end)
                        .min()
                        .orElseThrow();
        assertThat(firstEnd).isAtLeast(now + 2_000 * MILLI);
    }

    private static boolean isAt(String server, int first) {
        return Integer.parseInt(server.substring(1)) >= first;
    }
}
