package org.geraniumusher.limit;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.limit.NamedLimit.Change;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against limits that end too early or never, and values that are wrongly taken for one. */
final class NamedLimitTest {
    private static final long SECOND = 1_000_000_000L;

    private final NamedLimit mLimit = new NamedLimit();

    private Change answer(long sentAt, long now, String... values) {
        return mLimit.onAnswer(ImmutableList.copyOf(values), sentAt, now);
    }

    @Test
    void onAnswer_decimalNumber_isTheLimit() {
        assertThat(answer(0, SECOND, "1.2")).isEqualTo(Change.BEGUN);

        assertThat(mLimit.requestsPerSecond()).isEqualTo(1.2);
        assertThat(answer(0, 2 * SECOND, "1.20")).isEqualTo(Change.NONE);
        assertThat(answer(0, 3 * SECOND, "3")).isEqualTo(Change.CHANGED);
    }

    /** Without a request, nothing would tell that the server takes requests again. */
    @Test
    void permittedPerSecond_limitOfZero_isAboveZero() {
        answer(0, SECOND, "0");

        assertThat(mLimit.isActive()).isTrue();
        assertThat(mLimit.permittedPerSecond()).isGreaterThan(0.0);
    }

    @Test
    void requestsPerSecond_numberBeyondRangeOfDouble_isFinite() {
        answer(0, SECOND, Strings.repeat("9", 400));

        assertThat(mLimit.requestsPerSecond()).isEqualTo(NamedLimit.MAX_REQUESTS_PER_SECOND);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "+1", "1e3", "NaN", "Infinity", "0x1", ".5", "1,2", "two"})
    void onAnswer_noDecimalNumber_changesNothing(String value) {
        assertThat(answer(0, SECOND, value)).isEqualTo(Change.IGNORED_FIRST);
        assertThat(answer(0, SECOND, value)).isEqualTo(Change.IGNORED_AGAIN);
        assertThat(mLimit.isActive()).isFalse();

        answer(0, 2 * SECOND, "2");
        answer(3 * SECOND, 4 * SECOND, value);
        assertThat(mLimit.requestsPerSecond()).isEqualTo(2.0);
        assertThat(mLimit.isActive()).isTrue();
    }

    @Test
    void onAnswer_twoValuesThatDiffer_changesNothing() {
        assertThat(answer(0, SECOND, "1", "2")).isEqualTo(Change.IGNORED_FIRST);
        assertThat(mLimit.isActive()).isFalse();
    }

    /** An answer to a request from before the limit was named may come after it. */
    @Test
    void onAnswer_noLimitToAnEarlierRequest_keepsTheLimit() {
        answer(0, 2 * SECOND, "2");

        assertThat(answer(SECOND, 3 * SECOND)).isEqualTo(Change.NONE);
        assertThat(mLimit.isActive()).isTrue();
        assertThat(answer(2 * SECOND + 1, 4 * SECOND)).isEqualTo(Change.ENDED);
        assertThat(mLimit.isActive()).isFalse();
    }

    /** A peer may tell of a limit that this daemon knows to have ended. */
    @Test
    void onNamed_beforeTheEnd_changesNothing() {
        answer(0, SECOND, "2");
        answer(3 * SECOND, 4 * SECOND);

        assertThat(mLimit.onNamed(2, 2 * SECOND)).isEqualTo(Change.NONE);
        assertThat(mLimit.onNamed(2, 5 * SECOND)).isEqualTo(Change.BEGUN);
    }

    @Test
    void onEnded_beforeTheLimitWasNamed_changesNothing() {
        answer(0, 2 * SECOND, "2");

        assertThat(mLimit.onEnded(SECOND)).isEqualTo(Change.NONE);
        assertThat(mLimit.onEnded(3 * SECOND)).isEqualTo(Change.ENDED);
    }
}
