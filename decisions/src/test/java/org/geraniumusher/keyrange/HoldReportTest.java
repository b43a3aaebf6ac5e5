package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.keyrange.CoordinatorElection.FormerCoordinators;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Guards against keys that wait for holds which the former coordinator never granted, and against
 * two holders of a key if its report is taken for more than it says.
 */
final class HoldReportTest {
    private static final long MILLI = 1_000_000L;
    private static final long TERM_START = 20_000 * MILLI;

    /** A table in which a lost server, which the next term does not list, owns all keys. */
    private static final RangeTable OWNER_IS_LOST =
            RangeTable.of(
                    new StoreVersion(0, 5),
                    ImmutableList.of(
                            new Assignment(KeyRange.ALL, "lost", 5, ImmutableList.of("a"))));

    private final RecordedCalls mCalls = new RecordedCalls();
    private final RangeCoordinator mCoordinator =
            RangeCoordinator.create(
                    mCalls, 10_000 * MILLI, KeyLoad.create(0), FormerHolders.create());

    private static HoldReport report(HoldReport.Entry... entries) {
        return new HoldReport(ImmutableList.copyOf(entries));
    }

    private static HoldReport.Entry hold(String incarnationId, long end, long lateGrantUntil) {
        return new HoldReport.Entry(KeyRange.ALL, incarnationId, end, lateGrantUntil);
    }

    private void setServers(String... incarnationIds) {
        mCoordinator.onServers(
                Stream.of(incarnationIds).map(id -> new RangeServer(id, 6, true)).toList());
    }

    private void startTerm(HoldReport report) {
        setServers("a", "b");
        mCoordinator.setFormerReport(report);
        mCoordinator.start(
                Optional.of(OWNER_IS_LOST),
                new FormerCoordinators(TERM_START, TERM_START),
                TERM_START);
        mCoordinator.tick(TERM_START);
        mCoordinator.onWritten(new StoreVersion(0, 10), TERM_START);
        mCoordinator.tick(TERM_START);
    }

    @Test
    void start_reportNamesNoHold_keysAreGrantedAtOnce() {
        startTerm(report());

        assertThat(mCalls.grants()).isNotEmpty();
    }

    @Test
    void start_reportNamesHold_keysAreGrantedWhenItHasRunOut() {
        long end = TERM_START + 2_000 * MILLI;
        startTerm(report(hold("lost", end, 0)));

        mCoordinator.tick(end - 1);
        assertThat(mCalls.grants()).isEmpty();
        mCoordinator.tick(end);
        assertThat(mCalls.grants()).isNotEmpty();
    }

    /** A grant without an answer can take effect after the release. */
    @Test
    void start_reportNamesLateGrant_releaseDoesNotEndIt() {
        long end = TERM_START + 2_000 * MILLI;
        startTerm(report(hold("a", end, end)));
        mCoordinator
                .table()
                .orElseThrow()
                .assignments()
                .forEach(a -> mCoordinator.onReleased("a", a.range(), a.fence(), Optional.empty()));

        mCoordinator.tick(end - 1);
        assertThat(mCalls.grantedOwners()).doesNotContain("b");
    }

    /** Another coordinator may have granted holds since the report. */
    @Test
    void onWriteConflict_anotherCoordinatorWroteTheTable_reportIsNotUsed() {
        setServers("a", "b");
        mCoordinator.setFormerReport(report());
        mCoordinator.start(
                Optional.of(OWNER_IS_LOST),
                new FormerCoordinators(TERM_START, TERM_START),
                TERM_START);
        mCoordinator.tick(TERM_START);
        mCoordinator.onWriteConflict(
                RangeTable.of(new StoreVersion(0, 8), OWNER_IS_LOST.assignments()), TERM_START);
        mCoordinator.tick(TERM_START);
        mCoordinator.onWritten(new StoreVersion(0, 10), TERM_START);

        mCoordinator.tick(TERM_START + 4_000 * MILLI);

        assertThat(mCalls.grants()).isEmpty();
    }

    @Test
    void holdReport_noTableOfTheTerm_isEmpty() {
        setServers("a");
        mCoordinator.start(Optional.empty(), new FormerCoordinators(0, 0), 0);
        mCoordinator.tick(0);

        assertThat(mCoordinator.holdReport()).isEmpty();
    }

    @Test
    void holdReport_grantIsAnsweredOrInFlight_namesItsHold() {
        setServers("a");
        mCoordinator.start(Optional.empty(), new FormerCoordinators(0, 0), 0);
        mCoordinator.tick(0);
        mCoordinator.onWritten(new StoreVersion(0, 10), 0);
        mCoordinator.tick(0);

        HoldReport.Entry inFlight = mCoordinator.holdReport().orElseThrow().entries().get(0);
        List.copyOf(mCalls.grants()).forEach(g -> mCoordinator.onGranted(g, MILLI));
        HoldReport.Entry answered = mCoordinator.holdReport().orElseThrow().entries().get(0);

        assertThat(inFlight.end()).isEqualTo(HoldBounds.latestHoldEnd(0, 4_000 * MILLI));
        assertThat(inFlight.lateGrantUntil()).isEqualTo(inFlight.end());
        assertThat(answered.end()).isEqualTo(MILLI + HoldBounds.maxHoldFromArrival(4_000 * MILLI));
        assertThat(answered.lateGrantUntil()).isEqualTo(0);
    }

    /** The clocks of two daemons may run at rates that differ by 3%. */
    @Test
    void receivedAt_otherClock_isNotEarlierThanTheTimeThatWasLeft() {
        HoldReport sent = report(hold("a", 7_000 * MILLI, 3_000 * MILLI));

        HoldReport.Entry received = sent.receivedAt(100 * MILLI, 5_000 * MILLI).entries().get(0);

        assertThat(received.end()).isEqualTo(2_160 * MILLI);
        assertThat(received.lateGrantUntil()).isEqualTo(100 * MILLI);
    }
}
