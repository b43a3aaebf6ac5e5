package org.geraniumusher.quarantine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against copies of a request on probation that reach a server together. */
final class TrialLedgerTest {
    private static final long MILLI = 1_000_000L;
    private static final RequestFingerprint FIRST = fingerprint(1);
    private static final RequestFingerprint SECOND = fingerprint(2);

    private final TrialLedger mLedger = TrialLedger.create();

    private static RequestFingerprint fingerprint(int number) {
        return new RequestFingerprint(String.format("%032x", number));
    }

    @Test
    void tryBegin_trialIsInProgress_isDeniedUntilItIsOver() {
        assertThat(mLedger.tryBegin(FIRST, 0)).isEqualTo(0);

        assertThat(mLedger.tryBegin(FIRST, 100 * MILLI))
                .isEqualTo(TrialLedger.TRIAL_NANOS - 100 * MILLI);
        assertThat(mLedger.tryBegin(FIRST, TrialLedger.TRIAL_NANOS - 1)).isEqualTo(1);
        assertThat(mLedger.tryBegin(FIRST, TrialLedger.TRIAL_NANOS)).isEqualTo(0);
    }

    /** A denied trial must not put off the next one. */
    @Test
    void tryBegin_deniedOften_isPermittedWhenTheTrialIsOver() {
        mLedger.tryBegin(FIRST, 0);
        for (long now = 0; now < TrialLedger.TRIAL_NANOS; now += 10 * MILLI) {
            assertThat(mLedger.tryBegin(FIRST, now)).isGreaterThan(0);
        }

        assertThat(mLedger.tryBegin(FIRST, TrialLedger.TRIAL_NANOS)).isEqualTo(0);
    }

    @Test
    void tryBegin_otherRequest_isPermitted() {
        mLedger.tryBegin(FIRST, 0);

        assertThat(mLedger.tryBegin(SECOND, 0)).isEqualTo(0);
    }

    /** Callers that vary their request must not make the coordinator keep them all. */
    @Test
    void tryBegin_manyRequests_memoryIsBounded() {
        for (int i = 0; i < TrialLedger.MAX_TRIALS; i++) {
            assertThat(mLedger.tryBegin(fingerprint(i), 0)).isEqualTo(0);
        }

        assertThat(mLedger.tryBegin(fingerprint(TrialLedger.MAX_TRIALS), 0)).isGreaterThan(0);
        assertThat(mLedger.tryBegin(fingerprint(TrialLedger.MAX_TRIALS), TrialLedger.TRIAL_NANOS))
                .isEqualTo(0);
    }
}
