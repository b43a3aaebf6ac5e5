package org.geraniumusher.traffic;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against bodies of all callers that together take more memory than there is. */
final class BodyBudgetTest {
    private static final int MIB = 1 << 20;
    private static final int SMALL = BodyBudget.SMALL_BODY_BYTES;

    private final BodyBudget mBudget = new BodyBudget(8 * MIB);

    /** Two bodies that fit one by one must not both be admitted if they don't fit together. */
    @Test
    void tryReserve_secondDoesNotFit_isRejectedUntilTheFirstIsReleased() {
        assertThat(mBudget.tryReserve(5 * MIB)).isTrue();
        assertThat(mBudget.tryReserve(5 * MIB)).isFalse();
        assertThat(mBudget.reservedBytes()).isEqualTo(5 * MIB);

        mBudget.release(5 * MIB);

        assertThat(mBudget.tryReserve(5 * MIB)).isTrue();
    }

    /** Long bodies must leave room for short ones. */
    @Test
    void tryReserve_longBodiesTookTheirShare_smallOnesAreAdmitted() {
        assertThat(mBudget.tryReserve(7 * MIB)).isTrue();

        assertThat(mBudget.tryReserve(SMALL + 1)).isFalse();
        assertThat(mBudget.tryReserve(SMALL)).isTrue();
    }

    /** Small bodies must be bounded as well. */
    @Test
    void tryReserve_smallBodiesFillTheBudget_nextIsRejected() {
        for (int i = 0; i < 8 * MIB / SMALL; i++) {
            assertThat(mBudget.tryReserve(SMALL)).isTrue();
        }

        assertThat(mBudget.tryReserve(1)).isFalse();
        assertThat(mBudget.tryReserve(0)).isTrue();
    }

    /** A size near the largest number must not overflow into an admission. */
    @Test
    void tryReserve_hugeSize_isRejected() {
        assertThat(mBudget.tryReserve(1)).isTrue();

        assertThat(mBudget.tryReserve(Long.MAX_VALUE)).isFalse();
    }

    /** A body that is released twice would let others exceed the budget. */
    @Test
    void release_moreThanReserved_throws() {
        assertThat(mBudget.tryReserve(1)).isTrue();

        assertThrows(IllegalStateException.class, () -> mBudget.release(2));
    }
}
