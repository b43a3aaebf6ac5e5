package org.geraniumusher.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against permits that allow more than the limit, and against times that nobody gets. */
final class PermitLedgerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long START = 100 * SECOND;
    private static final long NOW = START + PermitSchedule.TAKEOVER_NANOS;

    private final PermitLedger mLedger = new PermitLedger(START);

    private PermitSchedule.Booking book(
            String daemon, double rate, int wanted, long wait, int rank, long now) {
        return mLedger.book("s", daemon, rate, wanted, wait, rank, now).booking();
    }

    /** Each of many daemons asks for as much as it can get, all the time. */
    @Test
    void book_manyDaemons_givesNoMoreThanTheRate() {
        int given = 0;
        for (long now = NOW; now < NOW + 10 * SECOND; now += SECOND / 100) {
            for (int daemon = 0; daemon < 95; daemon++) {
                given += book("d" + daemon, 1.2, 3, SECOND, 0, now).count();
            }
        }

        assertThat(given).isAtMost((int) (1.2 * (10 + 1)) + 1);
        assertThat(given).isAtLeast((int) (1.2 * 10));
    }

    /** A burst that was saved up would come on top of what the limit allows. */
    @Test
    void book_afterLongPause_savesNothingUp() {
        book("d", 2, 1, 0, 0, NOW);

        PermitSchedule.Booking later = book("d", 2, 10, SECOND, 0, NOW + 60 * SECOND);

        assertThat(later.count()).isEqualTo(3);
        assertThat(later.delayNanos()).isEqualTo(0);
        assertThat(later.intervalNanos()).isEqualTo(SECOND / 2);
    }

    /** A permit for a time at which its request has been rejected is lost for others. */
    @Test
    void book_requestsThatCannotWait_getOnlyTheTimesBeforeTheirEnd() {
        assertThat(book("d", 1, 5, 0, 0, NOW).count()).isEqualTo(1);
        assertThat(book("d", 1, 5, SECOND / 2, 0, NOW).count()).isEqualTo(0);
        assertThat(book("d", 1, 5, SECOND / 2, 0, NOW + SECOND / 2).count()).isEqualTo(1);
    }

    @Test
    void book_lessUrgentRequests_leaveTimesForUrgentOnes() {
        while (book("d", 10, 1, SECOND, 3, NOW).count() > 0) {
            continue;
        }

        assertThat(book("d", 10, 10, SECOND, 0, NOW).count()).isAtLeast(5);
    }

    /** Permits of the former coordinator can still be used. */
    @Test
    void book_newTerm_givesNothingUntilFormerPermitsHaveEnded() {
        PermitSchedule.Booking booking = book("d", 100, 5, SECOND, 0, START);

        assertThat(booking.count()).isEqualTo(0);
        assertThat(booking.nextDelayNanos()).isEqualTo(PermitSchedule.TAKEOVER_NANOS);
    }

    @Test
    void book_higherRateThanBefore_givesTheNextTimeSooner() {
        book("d", 0.25, 1, 0, 0, NOW);

        assertThat(book("d", 10, 1, SECOND, 0, NOW).delayNanos()).isEqualTo(SECOND / 10);
    }

    @Test
    void book_askers_countsThoseOfTheLastSeconds() {
        book("a", 1, 1, 0, 0, NOW);
        book("b", 1, 1, 0, 0, NOW + SECOND);

        assertThat(mLedger.book("s", "b", 1, 1, 0, 0, NOW + SECOND).askers()).isEqualTo(2);
        assertThat(mLedger.book("s", "b", 1, 1, 0, 0, NOW + 7 * SECOND).askers()).isEqualTo(1);
    }

    /** Names of servers come from other processes, so their number has to be bounded. */
    @Test
    void book_forgottenServer_waitsAsInNewTerm() {
        book("d", 1, 1, 0, 0, NOW);
        for (int i = 0; i < PermitLedger.MAX_SERVERS; i++) {
            mLedger.book("s" + i, "d", 1, 1, 0, 0, NOW);
        }

        assertThat(book("d", 1, 1, 0, 0, NOW).count()).isEqualTo(0);
    }
}
