package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

/** Guards the estimate of a server's load and the rate limit of a cold server. */
final class ServerLoadTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;

    private final ServerLoad mLoad =
            ServerLoad.create(6, ServiceTimes.create(200 * MILLI_NANOS), 0);

    @Test
    void expectedResponseNanos_idle_isTheServiceTime() {
        assertThat(mLoad.expectedResponseNanos(SECOND_NANOS)).isWithin(1).of(200 * MILLI_NANOS);
    }

    @Test
    void expectedResponseNanos_moreInFlightThanSlots_addsQueueing() {
        for (int i = 0; i < 8; i++) {
            mLoad.onSent();
        }

        assertThat(mLoad.expectedResponseNanos(SECOND_NANOS)).isWithin(1).of(300 * MILLI_NANOS);
    }

    /** A report of a full queue must not keep requests away after that queue has emptied. */
    @Test
    void expectedLoad_reportAges_decaysToTheMean() {
        mLoad.onSent();
        mLoad.onReport(new LoadReport(6, 14, 6, 100), 0);
        mLoad.onCompleted(200 * MILLI_NANOS, false);

        assertThat(mLoad.expectedLoad(0)).isWithin(0.01).of(20);
        assertThat(mLoad.expectedLoad(2 * SECOND_NANOS)).isLessThan(2.5);
    }

    /** A report includes the requests of this daemon, which must not be added again. */
    @Test
    void onReport_ownRequestsInFlight_areNotCountedTwice() {
        mLoad.onSent();
        mLoad.onSent();
        mLoad.onSent();
        mLoad.onReport(new LoadReport(2, 0, 6, 100), 0);

        assertThat(mLoad.expectedLoad(0)).isWithin(0.01).of(3);
    }

    /** A server that asked for a pause must get no requests in it, and get them after it. */
    @Test
    void tryAdmit_paused_isFalseUntilThePauseEnds() {
        mLoad.pause().onUnavailable(ImmutableList.of("3"), 0);
        mLoad.pause().onUnavailable(ImmutableList.of("1"), 0);

        assertThat(mLoad.tryAdmit(100, 2 * SECOND_NANOS)).isFalse();
        assertThat(mLoad.pausedUntil(2 * SECOND_NANOS)).isEqualTo(3 * SECOND_NANOS);
        assertThat(mLoad.tryAdmit(100, 3 * SECOND_NANOS)).isTrue();
        assertThat(mLoad.pausedUntil(4 * SECOND_NANOS)).isEqualTo(4 * SECOND_NANOS);
    }

    @Test
    void tryAdmit_warm_isAlwaysTrue() {
        for (int i = 0; i < 100; i++) {
            assertThat(mLoad.tryAdmit(0.5, 0)).isTrue();
        }
    }

    /**
     * A burst of requests to a server that has just turned cold must stay within the rate limit.
     */
    @Test
    void tryAdmit_burstWhileCold_keepsTheRate() {
        mLoad.setColdUntil(10 * SECOND_NANOS, 0);

        int admitted = 0;
        for (long now = 0; now < 10 * SECOND_NANOS; now += 10 * MILLI_NANOS) {
            admitted += mLoad.tryAdmit(0.5, now) ? 1 : 0;
        }

        assertThat(admitted).isAtMost(5);
        assertThat(admitted).isAtLeast(4);
    }

    /** Tokens must not accumulate before the server turns cold. */
    @Test
    void tryAdmit_coldAfterLongIdleTime_startsWithInitialTokens() {
        mLoad.setColdUntil(1_010 * SECOND_NANOS, 1_000 * SECOND_NANOS);

        assertThat(mLoad.tryAdmit(0.5, 1_000 * SECOND_NANOS + MILLI_NANOS)).isFalse();
    }

    @Test
    void isSuspect_noAnswer_endsAfterPause() {
        mLoad.onSent();
        mLoad.onNoAnswer(0);

        assertThat(mLoad.isSuspect(100 * MILLI_NANOS)).isTrue();
        assertThat(mLoad.isSuspect(3 * SECOND_NANOS)).isFalse();
    }

    /** A server that was never asked must not look faster than all that were. */
    @Test
    void expectedResponseNanos_otherServersWereSlow_isTheirMean() {
        ServiceTimes times = ServiceTimes.create(200 * MILLI_NANOS);
        ServerLoad asked = ServerLoad.create(6, times, 0);
        asked.onSent();
        asked.onCompleted(900 * MILLI_NANOS, false);

        ServerLoad unknown = ServerLoad.create(6, times, 0);
        assertThat(unknown.expectedResponseNanos(0)).isWithin(1).of(900 * MILLI_NANOS);
    }

    /** Requests that end at their deadline are missing among the completed ones. */
    @Test
    void onCancelled_laterThanExpected_countsAsThatTime() {
        mLoad.onSent();
        mLoad.onCancelled(1_000 * MILLI_NANOS);

        assertThat(mLoad.expectedResponseNanos(SECOND_NANOS)).isGreaterThan(200.0 * MILLI_NANOS);
    }

    @Test
    void onCancelled_soonerThanExpected_showsNothing() {
        mLoad.onSent();
        mLoad.onCancelled(10 * MILLI_NANOS);

        assertThat(mLoad.expectedResponseNanos(SECOND_NANOS)).isWithin(1).of(200 * MILLI_NANOS);
    }
}
