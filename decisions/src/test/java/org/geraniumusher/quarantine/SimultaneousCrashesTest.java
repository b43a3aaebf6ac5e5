package org.geraniumusher.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

/** Guards against the loss of many servers that counts as evidence against each request. */
final class SimultaneousCrashesTest {
    private final SimultaneousCrashes mCrashes = SimultaneousCrashes.create();

    @Test
    void countEvidence_atOnceUnderTheRequest_countsEach() {
        mCrashes.add("a", 1_000);
        mCrashes.add("b", 1_100);
        mCrashes.add("c", 1_200);

        assertThat(mCrashes.countEvidence(ImmutableList.of("a", "b", "c"))).isEqualTo(3);
    }

    @Test
    void countEvidence_fewOfManyAtOnce_countForOne() {
        for (int i = 0; i < 7; i++) {
            mCrashes.add("s" + i, 1_000 + i);
        }

        assertThat(mCrashes.countEvidence(ImmutableList.of("s0", "s3", "s6"))).isEqualTo(1);
        assertThat(mCrashes.countEvidence(ImmutableList.of("s0", "s1", "s2", "s3"))).isEqualTo(4);
    }

    /** Two losses of power are two chances to have been in progress. */
    @Test
    void countEvidence_fewOfManyTwice_countForTwo() {
        for (int i = 0; i < 10; i++) {
            mCrashes.add("s" + i, i < 5 ? 1_000 : 1_000 + SimultaneousCrashes.WINDOW_MILLIS);
        }

        assertThat(mCrashes.countEvidence(ImmutableList.of("s0", "s1", "s5", "s6"))).isEqualTo(2);
    }

    @Test
    void countEvidence_outsideTheWindow_countsEach() {
        for (int i = 0; i < 10; i++) {
            mCrashes.add("s" + i, i * SimultaneousCrashes.WINDOW_MILLIS);
        }

        assertThat(mCrashes.countEvidence(ImmutableList.of("s2", "s5"))).isEqualTo(2);
    }

    /** Several daemons report a crash, each at its own time. */
    @Test
    void add_again_keepsTheEarliestTime() {
        mCrashes.add("a", 5_000);
        mCrashes.add("a", 1_000);
        mCrashes.add("a", 9_000);
        mCrashes.add("b", 1_000);
        mCrashes.add("c", 1_000);

        assertThat(mCrashes.countEvidence(ImmutableList.of("a"))).isEqualTo(1);
        assertThat(mCrashes.countEvidence(ImmutableList.of("a", "b"))).isEqualTo(2);
    }

    /** A new coordinator knows incarnations from the store of which no daemon reports a time. */
    @Test
    void countEvidence_timeNotKnown_counts() {
        mCrashes.add("a", 1_000);
        mCrashes.forgetBefore(2_000);

        assertThat(mCrashes.countEvidence(ImmutableList.of("a", "b"))).isEqualTo(2);
    }
}
