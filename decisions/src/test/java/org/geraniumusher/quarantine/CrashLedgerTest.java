package org.geraniumusher.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.quarantine.CrashLedger.Change;
import org.geraniumusher.quarantine.CrashLedger.Reason;
import org.geraniumusher.quarantine.Quarantine.State;
import org.junit.jupiter.api.Test;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Guards against crashing requests that are not rejected, and innocent ones that are for long. */
final class CrashLedgerTest {
    private final CrashLedger mLedger = CrashLedger.create();
    private final Map<RequestFingerprint, Quarantine> mStored = new LinkedHashMap<>();
    private long mNowMillis = 1_000_000;

    private static RequestFingerprint fingerprint(int number) {
        return new RequestFingerprint(String.format("%032x", number));
    }

    /** Reports a crash and waits until it is decided on. */
    private void crash(String incarnation, int... requests) {
        report(mLedger, incarnation, requests);
        advance(CrashLedger.REPORT_SPREAD_MILLIS);
    }

    private void report(CrashLedger ledger, String incarnation, int... requests) {
        ledger.onCrash(incarnation, suspects(requests), 0, mNowMillis);
        applyChanges(ledger);
    }

    private static ImmutableList<CrashSuspect> suspects(int... requests) {
        return Arrays.stream(requests)
                .mapToObj(r -> new CrashSuspect(fingerprint(r), "service", "GET h/" + r))
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<Change> applyChanges(CrashLedger ledger) {
        ImmutableList<Change> changes = ledger.decide(ImmutableMap.copyOf(mStored), mNowMillis);
        for (Change change : changes) {
            if (change.next().isPresent()) {
                mStored.put(change.fingerprint(), change.next().get());
            } else {
                mStored.remove(change.fingerprint());
            }
        }
        return changes;
    }

    private ImmutableList<Change> advance(long millis) {
        mNowMillis += millis;
        return applyChanges(mLedger);
    }

    private Optional<State> state(int request) {
        return Optional.ofNullable(mStored.get(fingerprint(request))).map(Quarantine::state);
    }

    private void reject(int request) {
        for (int i = 0; i < 3; i++) {
            crash("s" + i, request);
        }
        assertThat(state(request)).hasValue(State.REJECTED);
    }

    @Test
    void decide_twoCrashes_putsOnProbationAndRejectsAtTheThird() {
        crash("s0", 1);
        assertThat(state(1)).isEmpty();
        crash("s1", 1);
        assertThat(state(1)).hasValue(State.PROBATION);
        crash("s2", 1);
        assertThat(state(1)).hasValue(State.REJECTED);
        assertThat(mStored.get(fingerprint(1)).incarnations()).containsExactly("s0", "s1", "s2");
        assertThat(mStored.get(fingerprint(1)).durationMillis()).isEqualTo(60_000);
    }

    /**
     * Crashes at once must lead to a rejection at once: daemons see a second change of an object
     * later than the first.
     */
    @Test
    void decide_threeCrashesAtOnce_rejectsWithoutProbation() {
        report(mLedger, "s0", 1);
        report(mLedger, "s1", 1);
        assertThat(state(1)).isEmpty();
        report(mLedger, "s2", 1);

        assertThat(state(1)).hasValue(State.REJECTED);
    }

    /** Several daemons report the same crash. */
    @Test
    void decide_sameCrashReportedByManyDaemons_countsOnce() {
        for (int i = 0; i < 10; i++) {
            crash("s0", 1);
        }

        assertThat(state(1)).isEmpty();
    }

    /** A request that stood beside the crashing one twice must not be rejected with it. */
    @Test
    void decide_bystander_isNotRejected() {
        crash("s0", 1);
        crash("s1", 1, 2);
        crash("s2", 1, 2);
        crash("s3", 1, 2);

        assertThat(state(1)).hasValue(State.REJECTED);
        assertThat(state(2)).isEmpty();
    }

    /** A bystander that is already on probation must not be rejected for the crash of another. */
    @Test
    void decide_bystanderOnProbation_isNotRejected() {
        crash("s0", 1, 2);
        crash("s1", 1, 2);
        assertThat(state(2)).hasValue(State.PROBATION);
        mLedger.onCrash("s2", suspects(1), 0, mNowMillis);
        crash("s3", 1, 2);

        assertThat(state(1)).hasValue(State.REJECTED);
        assertThat(state(2)).hasValue(State.PROBATION);
    }

    /**
     * A daemon reported the crash for the bystander 43 ms before another one reported it for the
     * crashing request, and the bystander was rejected.
     */
    @Test
    void decide_bystanderIsReportedFirst_waitsForTheOtherReports() {
        for (int i = 0; i < 4; i++) {
            crash("s" + i, 1);
        }
        crash("s4", 1, 2);
        crash("s5", 1, 2);

        report(mLedger, "s6", 2);
        assertThat(state(2)).isEmpty();
        crash("s6", 1);

        advance(CrashLedger.REPORT_SPREAD_MILLIS);
        assertThat(state(2)).isEmpty();
    }

    /** A request that crashes more servers than the other one must not hide behind it. */
    @Test
    void decide_crashIsNotReportedForTheOther_countsLater() {
        for (int i = 0; i < 6; i++) {
            crash("s" + i, 1);
        }
        crash("s5", 2);
        crash("s4", 2);
        report(mLedger, "s6", 2);
        assertThat(state(2)).isEmpty();

        advance(CrashLedger.REPORT_SPREAD_MILLIS);
        assertThat(state(2)).hasValue(State.REJECTED);
    }

    @Test
    void decide_successBetweenCrashes_startsAnew() {
        crash("s0", 1);
        crash("s1", 1);
        mLedger.onCompleted(fingerprint(1));
        assertThat(applyChanges(mLedger).get(0).reason()).isEqualTo(Reason.COMPLETED);
        applyChanges(mLedger);

        crash("s2", 1);
        assertThat(state(1)).isEmpty();
    }

    /** A crash that is reported before the removal is written must not be lost with it. */
    @Test
    void decide_crashWhileTheRemovalIsWritten_counts() {
        crash("s0", 1);
        crash("s1", 1);
        mLedger.onCompleted(fingerprint(1));
        mLedger.onCrash("s2", suspects(1), 0, mNowMillis);
        applyChanges(mLedger);
        crash("s3", 1);

        assertThat(state(1)).hasValue(State.PROBATION);
    }

    @Test
    void decide_rejectionOver_probationThenEnd() {
        reject(1);

        assertThat(advance(59_000)).isEmpty();
        assertThat(advance(1_000).get(0).reason()).isEqualTo(Reason.REJECTION_OVER);
        assertThat(state(1)).hasValue(State.PROBATION);
        assertThat(advance(600_000).get(0).reason()).isEqualTo(Reason.PROBATION_OVER);
        assertThat(state(1)).isEmpty();
        assertThat(advance(1)).isEmpty();
    }

    @Test
    void decide_crashInProbation_rejectsForTwiceAsLong() {
        reject(1);
        advance(60_000);

        crash("s9", 1);

        assertThat(state(1)).hasValue(State.REJECTED);
        assertThat(mStored.get(fingerprint(1)).durationMillis()).isEqualTo(120_000);
        for (int i = 10; i < 30; i++) {
            advance(3_600_000);
            crash("s" + i, 1);
        }
        assertThat(mStored.get(fingerprint(1)).durationMillis()).isEqualTo(3_600_000);
    }

    /** A request that comes back every 40 s must be rejected too. */
    @Test
    void decide_crashesFarApart_rejects() {
        for (int i = 0; i < 3; i++) {
            crash("s" + i, 1);
            advance(120_000);
        }

        assertThat(mStored.get(fingerprint(1)).incarnations()).hasSize(3);
    }

    /** An operator who lifts a quarantine must not see it return without new crashes. */
    @Test
    void decide_removedByOperator_forgetsTheCrashes() {
        reject(1);
        advance(100);

        mStored.clear();

        assertThat(advance(100)).isEmpty();
        crash("s7", 1);
        assertThat(state(1)).isEmpty();
    }

    /** A restore of the store that loses the quarantine must not let the request through. */
    @Test
    void decide_lostInRestore_isWrittenAgain() {
        reject(1);
        advance(100);

        mLedger.onStoreRestored();
        mStored.clear();
        advance(100);

        assertThat(state(1)).hasValue(State.REJECTED);
    }

    /** A new coordinator knows only the stored quarantines and what daemons still report. */
    @Test
    void decide_newCoordinator_continuesFromTheStore() {
        crash("s0", 1);
        crash("s1", 1);
        CrashLedger next = CrashLedger.create();

        report(next, "s1", 1);
        assertThat(state(1)).hasValue(State.PROBATION);
        report(next, "s2", 1);
        assertThat(state(1)).hasValue(State.REJECTED);
    }

    /** A write that was lost must be decided again. */
    @Test
    void decide_writeLost_decidesAgain() {
        crash("s0", 1);
        crash("s1", 1);
        mStored.clear();
        CrashLedger ledger = CrashLedger.create();
        for (int i = 0; i < 3; i++) {
            ledger.onCrash("s" + i, suspects(1), 0, mNowMillis);
        }

        assertThat(ledger.decide(ImmutableMap.of(), mNowMillis)).hasSize(1);
        assertThat(ledger.decide(ImmutableMap.of(), mNowMillis)).hasSize(1);
    }

    /** Callers must not be able to fill the memory with requests that each crash a server. */
    @Test
    void onCrash_tooManyRequests_dropsTheOldest() {
        for (int i = 0; i < CrashLedger.MAX_REQUESTS + 10; i++) {
            mLedger.onCrash("s" + i, suspects(i), 0, mNowMillis);
        }

        assertThat(mLedger.droppedRequests()).isEqualTo(10);
    }

    /**
     * Ten servers crash at once for a reason of their own, as in a loss of power. Copies of a
     * popular request ran on three of them. It never crashed a server by itself.
     */
    @Test
    void decide_manyServersCrashAtOnce_popularRequestIsNotRejected() {
        for (int i = 0; i < 10; i++) {
            int[] requests = i < 3 ? new int[] {1, 100 + i} : new int[] {100 + i};
            report(mLedger, "s" + i, requests);
        }

        advance(CrashLedger.REPORT_SPREAD_MILLIS);
        assertThat(state(1)).isNotEqualTo(Optional.of(State.REJECTED));
    }

    /** A request that crashes its servers must not hide among crashes of another cause. */
    @Test
    void decide_crashesGoOnAfterManyAtOnce_rejects() {
        for (int i = 0; i < 10; i++) {
            report(mLedger, "s" + i, i < 3 ? new int[] {1, 100 + i} : new int[] {100 + i});
        }
        advance(CrashLedger.REPORT_SPREAD_MILLIS);
        crash("s10", 1);
        crash("s11", 1);

        assertThat(state(1)).hasValue(State.REJECTED);
    }

    /** The next loss of many servers must not reject a request that succeeded in between. */
    @Test
    void decide_manyServersCrashAtOnceAgain_popularRequestIsNotRejected() {
        for (int loss = 0; loss < 3; loss++) {
            for (int i = 0; i < 10; i++) {
                String server = "s" + loss + "-" + i;
                mLedger.onCrash(server, i < 3 ? suspects(1) : suspects(100), 0, mNowMillis);
            }
            advance(CrashLedger.REPORT_SPREAD_MILLIS);
            assertThat(state(1)).isNotEqualTo(Optional.of(State.REJECTED));
            mLedger.onCompleted(fingerprint(1));
            advance(1);
        }
    }

    /** A new coordinator is told of all crashes at once, which happened one after the other. */
    @Test
    void decide_crashesReportedAgainAtOnce_countEach() {
        for (int i = 0; i < 10; i++) {
            long ageMillis = 10_000 * (10 - i);
            mLedger.onCrash(
                    "s" + i, i < 3 ? suspects(1) : suspects(100 + i), ageMillis, mNowMillis);
        }
        applyChanges(mLedger);

        assertThat(state(1)).hasValue(State.REJECTED);
    }
}
