package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;

import org.junit.jupiter.api.Test;

/** Guards against slow servers that carry as much of their capacity as fast ones. */
final class ServerSpeedsTest {
    private static final ImmutableSet<String> LIVES = ImmutableSet.of("slow", "a", "b", "fast");

    private final ServerSpeeds mSpeeds = ServerSpeeds.create();

    /** Replays servers of half, once and one and a half times the speed. */
    private void observe() {
        for (int i = 0; i < 500; i++) {
            mSpeeds.onRun("slow", 0.6);
            mSpeeds.onRun("a", 0.3);
            mSpeeds.onRun("b", 0.3);
            mSpeeds.onRun("fast", 0.2);
        }
    }

    private double share(String life, double utilization) {
        return mSpeeds.shares(LIVES, utilization).get(life);
    }

    @Test
    void shares_roomyService_growsFasterThanSpeed() {
        observe();
        double speeds = mSpeeds.speed("fast") / mSpeeds.speed("slow");

        assertThat(share("fast", 0.5) / share("slow", 0.5)).isWithin(0.01).of(Math.pow(speeds, 2));
        assertThat(share("slow", 0.5)).isLessThan(0.4);
    }

    @Test
    void shares_fullService_isTheSpeed() {
        observe();
        double speeds = mSpeeds.speed("fast") / mSpeeds.speed("slow");

        assertThat(share("fast", 1.2) / share("slow", 1.2)).isWithin(0.01).of(speeds);
    }

    @Test
    void shares_allServers_averagesOne() {
        observe();
        for (double utilization : new double[] {0.2, 0.7, 1.1}) {
            double sum = LIVES.stream().mapToDouble(l -> share(l, utilization)).sum();
            assertThat(sum).isWithin(1e-9).of(LIVES.size());
        }
    }

    @Test
    void shares_nothingKnown_isEven() {
        assertThat(share("a", 0.5)).isEqualTo(1.0);
        assertThat(mSpeeds.meanSeconds(0.3)).isEqualTo(0.3);
    }
}
