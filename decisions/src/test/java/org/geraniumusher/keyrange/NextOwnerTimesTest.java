package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Guards against requests that are rejected although their key has its next owner in time. */
final class NextOwnerTimesTest {
    private static final long MILLI = 1_000_000L;
    private static final long NOW = 50_000 * MILLI;
    private static final long END = NOW + 4_000 * MILLI;
    private static final Assignment LOST =
            new Assignment(new KeyRange(100, 199), "a", 7, ImmutableList.of());

    private final NextOwnerTimes mTimes = NextOwnerTimes.create();

    private static List<NextOwner> named(int firstKey, long fence) {
        return List.of(new NextOwner(firstKey, fence, END));
    }

    @Test
    void notBefore_nothingWasNamed_isNotKnown() {
        assertThat(mTimes.notBefore(LOST, NOW)).isEmpty();
    }

    /** The message may have been on its way, and the clock of the daemon may be slow. */
    @Test
    void notBefore_timeWasNamed_isEarlierByTransitAndDrift() {
        mTimes.replace(named(100, 7), NOW);

        long notBefore = mTimes.notBefore(LOST, NOW).orElseThrow();

        assertThat(notBefore).isAtMost(END - 300 * MILLI - 4_000 * MILLI / 50);
        assertThat(notBefore).isAtLeast(END - 500 * MILLI);
    }

    @Test
    void notBefore_timeIsOver_isNotKnown() {
        mTimes.replace(named(100, 7), NOW);
        long notBefore = mTimes.notBefore(LOST, NOW).orElseThrow();
        mTimes.replace(named(100, 7), NOW + 1_000 * MILLI);

        assertThat(mTimes.notBefore(LOST, END - 300 * MILLI)).isEmpty();
        assertThat(mTimes.notBefore(LOST, notBefore - 1)).isPresent();
    }

    /** A table with a new owner of the range has another fence. */
    @Test
    void notBefore_rangeHasAnotherFenceOrOtherKeys_isNotKnown() {
        mTimes.replace(named(100, 6), NOW);
        assertThat(mTimes.notBefore(LOST, NOW)).isEmpty();

        mTimes.replace(named(99, 7), NOW);
        assertThat(mTimes.notBefore(LOST, NOW)).isEmpty();
    }

    /** The owner has answered again, or the range has its next one. */
    @Test
    void notBefore_timeIsNotRepeatedByNextMessage_isNotKnown() {
        mTimes.replace(named(100, 7), NOW);
        mTimes.replace(List.of(), NOW + 100 * MILLI);

        assertThat(mTimes.notBefore(LOST, NOW + 100 * MILLI)).isEmpty();
    }

    /** The coordinator is lost, or the message that took the time back. */
    @Test
    void notBefore_noMessageForLong_isNotKnown() {
        mTimes.replace(named(100, 7), NOW);

        assertThat(mTimes.notBefore(LOST, NOW + NextOwnerTimes.VALID_NANOS - 1)).isPresent();
        assertThat(mTimes.notBefore(LOST, NOW + NextOwnerTimes.VALID_NANOS)).isEmpty();
    }
}
