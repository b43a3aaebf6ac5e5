package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the estimate of a server's load, and the bound of a cold server. */
final class ServerLoadTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    private final ServerLoad mLoad = ServerLoad.create(6, 200 * MILLI, 0);

    @Test
    void expectedNanos_idle_isTheWork() {
        assertThat(mLoad.expectedNanos(SECOND)).isWithin(1).of(200 * MILLI);
    }

    @Test
    void expectedNanos_moreThanSlotsInFlight_addsTheWait() {
        for (int i = 0; i < 8; i++) {
            mLoad.onSent();
        }

        assertThat(mLoad.expectedNanos(SECOND)).isWithin(1).of(300 * MILLI);
    }

    /** A report of a full server must not keep requests away after its queue has drained. */
    @Test
    void expectedLoad_reportAges_decaysToTheMean() {
        mLoad.onSent();
        mLoad.onReport(new LoadReport(6, 14, 6, 100), 0);
        mLoad.onCompleted(200 * MILLI, false);

        assertThat(mLoad.expectedLoad(0)).isWithin(0.01).of(20);
        assertThat(mLoad.expectedLoad(2 * SECOND)).isLessThan(2.5);
    }

    /** The requests of this daemon are counted by it, not by the report. */
    @Test
    void onReport_ownRequestsInFlight_areNotCountedTwice() {
        mLoad.onSent();
        mLoad.onSent();
        mLoad.onSent();
        mLoad.onReport(new LoadReport(2, 0, 6, 100), 0);

        assertThat(mLoad.expectedLoad(0)).isWithin(0.01).of(3);
    }

    @Test
    void tryAdmit_warm_isAlwaysTrue() {
        for (int i = 0; i < 100; i++) {
            assertThat(mLoad.tryAdmit(0.5, 0)).isTrue();
        }
    }

    /** A burst on a server that has just turned cold must stay within its rate. */
    @Test
    void tryAdmit_coldAndBurst_keepsTheRate() {
        mLoad.onCold(10 * SECOND, 0);

        int admitted = 0;
        for (long at = 0; at < 10 * SECOND; at += 10 * MILLI) {
            admitted += mLoad.tryAdmit(0.5, at) ? 1 : 0;
        }

        assertThat(admitted).isAtMost(5);
        assertThat(admitted).isAtLeast(4);
    }

    /** Idle time before the server turned cold must not count for it. */
    @Test
    void tryAdmit_coldAfterLongIdleTime_startsWithTheGivenShare() {
        mLoad.onCold(1_010 * SECOND, 1_000 * SECOND);

        assertThat(mLoad.tryAdmit(0.5, 1_000 * SECOND + MILLI)).isFalse();
    }

    @Test
    void isSuspect_noAnswer_endsAfterPause() {
        mLoad.onSent();
        mLoad.onNoAnswer(0);

        assertThat(mLoad.isSuspect(100 * MILLI)).isTrue();
        assertThat(mLoad.isSuspect(3 * SECOND)).isFalse();
    }
}
