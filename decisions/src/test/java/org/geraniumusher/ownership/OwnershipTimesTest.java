package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import org.junit.jupiter.api.Test;

/** Guards against limits that two clocks within the drift bound of 2,000 ppm would break. */
class OwnershipTimesTest {
    @Property(seed = "42", tries = 200)
    void shortened_slowServerClock_endsInTime(
            @ForAll @LongRange(min = 0, max = 2_000_000_000L) long nanos) {
        long onSlowClock = OwnershipTimes.shortened(nanos);
        assertThat(onSlowClock + onSlowClock * 2 / 1_000).isAtMost(nanos);
        assertThat(nanos - onSlowClock).isAtMost(nanos / 500 + 1);
    }

    @Test
    void lapseNanos_fastClockOfWaiter_coversAuthority() {
        assertThat(OwnershipTimes.lapseNanos(true)).isAtLeast(1_002_000_000L);
        assertThat(OwnershipTimes.lapseNanos(false)).isAtLeast(2_004_000_000L);
    }
}
