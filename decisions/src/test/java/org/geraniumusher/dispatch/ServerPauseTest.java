package org.geraniumusher.dispatch;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.dispatch.ServerPause.Change;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.time.Duration;

/** Guards against pauses that are too short, and against values that keep a server out wrongly. */
final class ServerPauseTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
    private static final long NOW = 5 * SECOND_NANOS;

    private final ServerPause mPause = new ServerPause();

    private Change onUnavailable(long nowNanos, String... values) {
        return mPause.onUnavailable(ImmutableList.copyOf(values), nowNanos);
    }

    private long remainingMillis(long nowNanos) {
        return (mPause.endNanos(nowNanos) - nowNanos) / MILLI_NANOS;
    }

    /** A fraction that is cut off would end the pause too early. */
    @ParameterizedTest
    @CsvSource({"3, 3000", "0.5, 500", "1.250, 1250", "007, 7000", "0.0014, 1", "' 2 ', 2000"})
    void onUnavailable_seconds_pausesForThem(String value, long millis) {
        assertThat(onUnavailable(NOW, value)).isEqualTo(Change.BEGUN);

        assertThat(remainingMillis(NOW)).isEqualTo(millis);
        assertThat(mPause.isActive(NOW + millis * MILLI_NANOS - 1)).isTrue();
        assertThat(mPause.isActive(NOW + (millis + 1) * MILLI_NANOS)).isFalse();
    }

    /** A value that is no decimal number of seconds must not cost the server its requests. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "  ",
                "soon",
                "-3",
                "-0",
                "+3",
                "NaN",
                "Infinity",
                "1e3",
                "0x1p3",
                "3d",
                "3f",
                ".5",
                "3.",
                "3,5",
                "3, 3",
                "3 s",
                "1_000",
                "٣",
                "Wed, 21 Oct 2026 07:28:00 GMT"
            })
    void onUnavailable_noDecimalNumber_isIgnored(String value) {
        assertThat(onUnavailable(NOW, value)).isEqualTo(Change.IGNORED_FIRST);

        assertThat(mPause.isActive(NOW)).isFalse();
        assertThat(mPause.endNanos(NOW)).isEqualTo(NOW);
    }

    /** Without a field, the server did not ask for anything, which is no fault of it. */
    @Test
    void onUnavailable_noField_doesNothing() {
        assertThat(onUnavailable(NOW)).isEqualTo(Change.NONE);

        assertThat(mPause.isActive(NOW)).isFalse();
        assertThat(onUnavailable(NOW, "x")).isEqualTo(Change.IGNORED_FIRST);
    }

    /** A server that asks for no pause must not be kept out or counted as faulty. */
    @Test
    void onUnavailable_zero_isNoPause() {
        assertThat(onUnavailable(NOW, "0")).isEqualTo(Change.NONE);

        assertThat(mPause.isActive(NOW)).isFalse();
    }

    /** Which of two times is meant is unknown, also if one of them is no time. */
    @Test
    void onUnavailable_differentValues_areIgnored() {
        assertThat(onUnavailable(NOW, "3", "4")).isEqualTo(Change.IGNORED_FIRST);
        assertThat(onUnavailable(NOW, "3", "soon")).isEqualTo(Change.IGNORED_AGAIN);
        assertThat(onUnavailable(NOW, "3", "")).isEqualTo(Change.IGNORED_AGAIN);
        assertThat(onUnavailable(NOW, "3", "3", "4")).isEqualTo(Change.IGNORED_AGAIN);

        assertThat(mPause.isActive(NOW)).isFalse();
    }

    /** Two fields that state the same time leave no doubt. */
    @Test
    void onUnavailable_sameValueTwice_isObeyed() {
        assertThat(onUnavailable(NOW, "3", "3.0")).isEqualTo(Change.BEGUN);

        assertThat(remainingMillis(NOW)).isEqualTo(3_000);
    }

    /** One line in the log for each server is enough, but each ignored answer is counted. */
    @Test
    void onUnavailable_ignoredAgain_isToldApartFromTheFirst() {
        assertThat(onUnavailable(NOW, "soon")).isEqualTo(Change.IGNORED_FIRST);
        assertThat(onUnavailable(NOW, "1")).isEqualTo(Change.BEGUN);
        assertThat(onUnavailable(NOW + 2 * SECOND_NANOS, "never")).isEqualTo(Change.IGNORED_AGAIN);
    }

    /** A late answer to an earlier request must not end a pause before its time. */
    @Test
    void onUnavailable_shorterOne_leavesTheEnd() {
        onUnavailable(NOW, "3");

        assertThat(onUnavailable(NOW + SECOND_NANOS, "1")).isEqualTo(Change.NONE);
        assertThat(onUnavailable(NOW + SECOND_NANOS, "2")).isEqualTo(Change.NONE);
        assertThat(onUnavailable(NOW + SECOND_NANOS, "0")).isEqualTo(Change.NONE);
        assertThat(onUnavailable(NOW + SECOND_NANOS, "soon")).isEqualTo(Change.IGNORED_FIRST);

        assertThat(mPause.endNanos(NOW + SECOND_NANOS)).isEqualTo(NOW + 3 * SECOND_NANOS);
        assertThat(mPause.isActive(NOW + 3 * SECOND_NANOS - 1)).isTrue();
        assertThat(mPause.isActive(NOW + 3 * SECOND_NANOS)).isFalse();
    }

    /** The latest answer knows best that the server needs more time. */
    @Test
    void onUnavailable_longerOne_movesTheEnd() {
        onUnavailable(NOW, "3");

        assertThat(onUnavailable(NOW + SECOND_NANOS, "2.5")).isEqualTo(Change.EXTENDED);

        assertThat(mPause.endNanos(NOW)).isEqualTo(NOW + 3_500 * MILLI_NANOS);
    }

    /** A pause after the first one must count as a new one. */
    @Test
    void onUnavailable_afterTheEnd_beginsAnother() {
        onUnavailable(NOW, "1");

        assertThat(onUnavailable(NOW + SECOND_NANOS, "1")).isEqualTo(Change.BEGUN);
    }

    /** An overflow would end the pause at once, or turn the times of waiting requests negative. */
    @ParameterizedTest
    @ValueSource(longs = {-NOW, 0, NOW, Long.MAX_VALUE / 4})
    void onUnavailable_hugeValue_isObeyedWithoutOverflow(long now) {
        for (String value :
                ImmutableList.of(
                        "9223372036",
                        "9223372037",
                        "18446744073709551616",
                        Strings.repeat("9", 400) + ".9")) {
            ServerPause pause = new ServerPause();

            assertThat(pause.onUnavailable(ImmutableList.of(value), now)).isEqualTo(Change.BEGUN);

            long yearsLater = now + Duration.ofDays(10_000).toNanos();
            assertThat(pause.isActive(yearsLater)).isTrue();
            assertThat(pause.endNanos(now) - now).isGreaterThan(0L);
        }
    }

    /** The next incarnation has a pause of its own, so it begins without one. */
    @Test
    void isActive_newIncarnation_isFalse() {
        assertThat(new ServerPause().isActive(Long.MIN_VALUE / 4)).isFalse();
    }
}
