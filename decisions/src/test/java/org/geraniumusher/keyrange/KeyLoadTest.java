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
