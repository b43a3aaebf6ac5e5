package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards the service time that is assumed for a server that was not asked yet. */
final class ServiceTimesTest {
    private final ServiceTimes mTimes = ServiceTimes.create(300);

    @Test
    void meanNanos_noRequest_isTheInitialTime() {
        assertThat(mTimes.meanNanos()).isEqualTo(300);
    }

    /** The initial time is a guess, which the first requests must replace. */
    @Test
    void meanNanos_firstRequests_isTheirMean() {
        mTimes.add(1_000);
        mTimes.add(2_000);

        assertThat(mTimes.meanNanos()).isWithin(1e-6).of(1_500);
    }

    /** The mean must follow a service whose requests change. */
    @Test
    void meanNanos_timesChange_follows() {
        for (int i = 0; i < 1_000; i++) {
            mTimes.add(1_000);
        }
        for (int i = 0; i < 200; i++) {
            mTimes.add(3_000);
        }

        assertThat(mTimes.meanNanos()).isGreaterThan(2_900);
    }

    @Test
    void create_notPositive_throws() {
        assertThrows(IllegalArgumentException.class, () -> ServiceTimes.create(0));
    }
}
