package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against giving keys to another server while their former holder still processes requests.
 */
final class TerminationDetectorTest {
    private final TerminationDetector mDetector = TerminationDetector.create();

    private static final long REFUSAL_INTERVAL_NANOS = 300_000_000L;

    private boolean refuse(String incarnationId, int attempt) {
        return mDetector.onConnectionRefused(incarnationId, true, attempt * REFUSAL_INTERVAL_NANOS);
    }

    @Test
    void onConnectionRefused_fourTimesAndListed_provesTermination() {
        assertThat(refuse("a", 1)).isFalse();
        assertThat(refuse("a", 2)).isFalse();
        assertThat(refuse("a", 3)).isFalse();
        assertThat(refuse("a", 4)).isTrue();
    }

    /**
     * A server over its connection limit refuses renewals of several ranges at once. Counted one by
     * one, they looked like a termination, and the keys got a second owner.
     */
    @Test
    void onConnectionRefused_atTheSameTime_countsOnce() {
        for (int i = 0; i < 10; i++) {
            assertThat(mDetector.onConnectionRefused("a", true, 5)).isFalse();
        }
    }

    /**
     * A leaving server closes its port while its last requests are in progress. Counted as a
     * termination, this gave its keys to another server too early.
     */
    @Test
    void onConnectionRefused_leaving_neverProvesTermination() {
        for (int i = 0; i < 10; i++) {
            assertThat(mDetector.onConnectionRefused("a", false, i * REFUSAL_INTERVAL_NANOS))
                    .isFalse();
        }
    }

    /** Refusals from before a restore of the store were compared with entries that it took back. */
    @Test
    void reset_refusedBefore_restartsCount() {
        refuse("a", 1);
        refuse("a", 2);
        refuse("a", 3);
        mDetector.reset();

        assertThat(refuse("a", 4)).isFalse();
    }

    @Test
    void onConnectionRefused_answeredInBetween_restartsCount() {
        refuse("a", 1);
        refuse("a", 2);
        refuse("a", 3);
        mDetector.onAnswered("a");

        assertThat(refuse("a", 4)).isFalse();
        assertThat(refuse("a", 5)).isFalse();
        assertThat(refuse("a", 6)).isFalse();
        assertThat(refuse("a", 7)).isTrue();
    }

    @Test
    void onConnectionRefused_leavesInBetween_restartsCount() {
        refuse("a", 1);
        refuse("a", 2);
        refuse("a", 3);
        mDetector.onConnectionRefused("a", false, 4 * REFUSAL_INTERVAL_NANOS);

        assertThat(refuse("a", 5)).isFalse();
    }
}
