package org.geraniumusher.quarantine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against lost responses that are taken for crashes, and crashes that are missed. */
final class CrashDetectorTest {
    private static final long MILLI = 1_000_000L;
    private static final String SERVER = "s@1";

    private final CrashDetector<String> mDetector = CrashDetector.create();

    @Test
    void onRefused_threeTimes_isCrashWithAllBrokenRequests() {
        assertThat(mDetector.onBroken(SERVER, "a", 0)).isTrue();
        assertThat(mDetector.onBroken(SERVER, "b", MILLI)).isFalse();

        assertThat(mDetector.onRefused(SERVER, 2 * MILLI)).isEmpty();
        assertThat(mDetector.onRefused(SERVER, 150 * MILLI)).isEmpty();
        assertThat(mDetector.onRefused(SERVER, 300 * MILLI).orElseThrow().suspects())
                .containsExactly("a", "b");
    }

    /** Further requests that break at an ended server must not count as a crash of their own. */
    @Test
    void onBroken_afterTheCrash_startsNothing() {
        mDetector.onBroken(SERVER, "a", 0);
        mDetector.onSuperseded(SERVER);

        assertThat(mDetector.onBroken(SERVER, "b", MILLI)).isFalse();
        assertThat(mDetector.onSuperseded(SERVER)).isEmpty();
    }

    /** A server that loses one response and answers others has not crashed. */
    @Test
    void onAnswered_afterLostResponse_endsTheSuspicion() {
        mDetector.onBroken(SERVER, "a", 0);
        mDetector.onAnswered(SERVER, 100 * MILLI);

        assertThat(mDetector.onSuperseded(SERVER)).isEmpty();
    }

    /** An answer that was sent before the crash can be read after the broken connection. */
    @Test
    void onAnswered_inTheMomentOfTheCrash_keepsTheSuspicion() {
        mDetector.onBroken(SERVER, "a", 0);
        mDetector.onAnswered(SERVER, MILLI);

        assertThat(mDetector.onSuperseded(SERVER)).isPresent();
    }

    /** A server over its limit of connections refuses some and accepts others in between. */
    @Test
    void onRefused_acceptedInBetween_isNoCrash() {
        mDetector.onBroken(SERVER, "a", 0);
        for (int i = 0; i < 5; i++) {
            assertThat(mDetector.onRefused(SERVER, MILLI)).isEmpty();
            assertThat(mDetector.onRefused(SERVER, MILLI)).isEmpty();
            mDetector.onAccepted(SERVER, 100 * MILLI);
        }
    }

    /** A crash that closes the connections before the port was missed. */
    @Test
    void onAccepted_inTheMomentOfTheCrash_laterRefusalsAreCrash() {
        mDetector.onBroken(SERVER, "a", 0);
        assertThat(mDetector.onAccepted(SERVER, MILLI)).isTrue();
        mDetector.onBroken(SERVER, "b", 2 * MILLI);

        assertThat(mDetector.onRefused(SERVER, 150 * MILLI)).isEmpty();
        assertThat(mDetector.onRefused(SERVER, 300 * MILLI)).isEmpty();
        assertThat(mDetector.onRefused(SERVER, 450 * MILLI).orElseThrow().suspects())
                .containsExactly("a", "b");
    }

    /** Requests that break all the time must not keep an accepted connection from counting. */
    @Test
    void onAccepted_requestsBreakSince_isNotProbedAgain() {
        for (int i = 0; i < 10; i++) {
            mDetector.onBroken(SERVER, "a", 10 * i * MILLI);
        }

        assertThat(mDetector.onAccepted(SERVER, 100 * MILLI)).isFalse();
    }

    /** A response lost earlier must not be blamed for a later crash of the same server. */
    @Test
    void onBroken_serverAcceptedSince_dropsEarlierRequests() {
        mDetector.onBroken(SERVER, "early", 0);
        mDetector.onAccepted(SERVER, 100 * MILLI);

        assertThat(mDetector.onBroken(SERVER, "late", 500 * MILLI)).isTrue();
        assertThat(mDetector.onSuperseded(SERVER).orElseThrow().suspects()).containsExactly("late");
    }

    /** An end that is proved long after the broken request has another cause. */
    @Test
    void onRefused_longAfterTheBrokenRequest_isNoCrash() {
        mDetector.onBroken(SERVER, "a", 0);

        for (int i = 0; i < 5; i++) {
            assertThat(mDetector.onRefused(SERVER, (6_000 + i) * MILLI)).isEmpty();
        }
    }

    @Test
    void onLeft_suspected_isNoCrash() {
        mDetector.onBroken(SERVER, "a", 0);
        mDetector.onLeft(SERVER);

        assertThat(mDetector.onSuperseded(SERVER)).isEmpty();
    }

    /** Callers must not be able to fill the memory with requests that break. */
    @Test
    void onBroken_manyRequests_countsThoseThatAreOmitted() {
        for (int i = 0; i < 600; i++) {
            mDetector.onBroken(SERVER, "r" + i, 0);
        }

        CrashDetector.Crash<String> crash = mDetector.onSuperseded(SERVER).orElseThrow();
        assertThat(crash.suspects()).hasSize(512);
        assertThat(crash.omittedSuspects()).isEqualTo(88);
    }
}
