package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.Random;

/** Guards the decaying count of work, and its sums against a naive one. */
final class KeyLoadTest {
    @Test
    void of_afterHalfLife_isHalf() {
        KeyLoad load = KeyLoad.create(0);
        load.add(7, 8, 0);

        load.advance(KeyLoad.HALF_LIFE_NANOS);

        assertThat(load.total()).isWithin(1e-9).of(4);
    }

    /**
     * Counts that have just begun to fill must not look like a light load: after the start of the
     * traffic hot ranges were not divided for two seconds.
     */
    @Test
    void countedSeconds_soonAfterTheFirstWork_tellTheTrueLoad() {
        long step = 10_000_000L;
        long start = 60_000_000_000L;
        KeyLoad load = KeyLoad.create(0);
        for (long now = start; now < start + 1_000_000_000L; now += step) {
            load.add(7, 0.03, now);
        }
        long end = start + 1_000_000_000L;
        load.advance(end);

        assertThat(load.total() / load.countedSeconds(end)).isWithin(0.05).of(3.0);
    }

    @Test
    void countedSeconds_afterLongTime_areThoseOfSteadyWork() {
        KeyLoad load = KeyLoad.create(0);
        load.add(7, 1, 0);

        double seconds = load.countedSeconds(20 * KeyLoad.HALF_LIFE_NANOS);

        assertThat(seconds).isWithin(0.01).of(2 / Math.log(2));
    }

    @Test
    void of_afterVeryLongTime_isNothingLeft() {
        KeyLoad load = KeyLoad.create(0);
        load.add(7, 8, 0);

        load.advance(200 * KeyLoad.HALF_LIFE_NANOS);

        assertThat(load.total()).isWithin(1e-9).of(0);
    }

    @Test
    void of_range_equalsTheSumOfItsKeys() {
        Random random = new Random(9);
        KeyLoad load = KeyLoad.create(0);
        for (int i = 0; i < 3_000; i++) {
            load.add(random.nextInt(KeyRange.MAX_KEY + 1), random.nextDouble(), i * 1_000_000L);
        }
        for (int i = 0; i < 200; i++) {
            int first = random.nextInt(KeyRange.MAX_KEY + 1);
            int last = first + random.nextInt(KeyRange.MAX_KEY + 1 - first);
            double naive = 0;
            for (int key = first; key <= last; key++) {
                naive += load.of(key);
            }
            assertThat(load.of(new KeyRange(first, last))).isWithin(1e-6).of(naive);
        }
    }
}
