package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.keyrange.CoordinatorElection.FormerCoordinators;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.Optional;

/** Guards against two daemons that act as the coordinator at the same time. */
final class CoordinatorElectionTest {
    private static final long SECOND = 1_000_000_000L;

    private final CoordinatorElection mElection = CoordinatorElection.create("a", 7, 0);

    private static CoordinatorRecord record(String daemon, long incarnation, long revision) {
        return new CoordinatorRecord(
                daemon, incarnation, "127.0.0.1:1", new StoreVersion(0, revision));
    }

    @Test
    void shouldWrite_beforeFirstRead_isFalse() {
        assertThat(mElection.shouldWrite(100 * SECOND)).isFalse();
    }

    @Test
    void shouldWrite_noRecord_isTrue() {
        mElection.onRead(Optional.empty(), 0);

        assertThat(mElection.shouldWrite(0)).isTrue();
    }

    @Test
    void shouldWrite_otherRenews_isFalse() {
        mElection.onRead(Optional.of(record("b", 1, 5)), 0);
        mElection.onRead(Optional.of(record("b", 1, 6)), 4 * SECOND);

        assertThat(mElection.shouldWrite(8 * SECOND)).isFalse();
    }

    @Test
    void shouldWrite_otherStopsRenewingForTakeoverTime_isTrue() {
        mElection.onRead(Optional.of(record("b", 1, 5)), 0);

        assertThat(mElection.shouldWrite(CoordinatorElection.AUTHORITY_NANOS)).isFalse();
        assertThat(mElection.shouldWrite(CoordinatorElection.TAKEOVER_NANOS)).isTrue();
    }

    /** A stale read must not make an old record look renewed. */
    @Test
    void shouldWrite_staleRecordIsRead_waitsFromTheNewerRecord() {
        mElection.onRead(Optional.of(record("b", 1, 6)), 0);
        mElection.onRead(Optional.of(record("b", 1, 5)), 4 * SECOND);

        assertThat(mElection.shouldWrite(CoordinatorElection.TAKEOVER_NANOS)).isTrue();
    }

    /** An earlier incarnation of this daemon has certainly ended. */
    @Test
    void shouldWrite_ownEarlierIncarnation_isTrueImmediately() {
        mElection.onRead(Optional.of(record("a", 6, 5)), 0);

        assertThat(mElection.shouldWrite(0)).isTrue();
    }

    /**
     * All daemons were lost while servers left. The next coordinator knew only of the election, 3 s
     * after its start, and its keys had no owner for that much longer.
     */
    @Test
    void formerCoordinators_ownEarlierIncarnation_sentGrantsBeforeTheStart() {
        CoordinatorElection election = CoordinatorElection.create("a", 7, 2 * SECOND);
        election.onRead(Optional.of(record("a", 6, 5)), 4 * SECOND);
        election.onWritten(record("a", 7, 6), 5 * SECOND, 5 * SECOND);

        assertThat(election.formerCoordinators())
                .isEqualTo(new FormerCoordinators(4 * SECOND, 2 * SECOND));
    }

    @Test
    void formerCoordinators_otherDaemon_mayHaveSentGrantsUntilNow() {
        CoordinatorElection election = CoordinatorElection.create("a", 7, 2 * SECOND);
        election.onRead(Optional.of(record("b", 6, 5)), 4 * SECOND);
        election.onWritten(record("a", 7, 6), 9 * SECOND, 9 * SECOND);

        assertThat(election.formerCoordinators())
                .isEqualTo(new FormerCoordinators(4 * SECOND, 9 * SECOND));
    }

    /** This incarnation has sent grants itself. */
    @Test
    void formerCoordinators_ownAuthorityHadEnded_grantsWereSentUntilNow() {
        CoordinatorElection election = CoordinatorElection.create("a", 7, 2 * SECOND);
        election.onRead(Optional.empty(), 2 * SECOND);
        election.onWritten(record("a", 7, 5), 2 * SECOND, 2 * SECOND);
        election.onWritten(record("a", 7, 6), 20 * SECOND, 21 * SECOND);

        assertThat(election.formerCoordinators().grantsSentBy()).isEqualTo(21 * SECOND);
    }

    /** The record of a lost history says nothing of who was elected after it. */
    @Test
    void formerCoordinators_recordOfEarlierEpoch_mayHaveSentGrantsUntilNow() {
        CoordinatorElection election = CoordinatorElection.create("a", 7, 2 * SECOND);
        election.onNewEpoch(1, 2 * SECOND);
        election.onRead(Optional.of(record("a", 6, 5)), 4 * SECOND);
        CoordinatorRecord next =
                new CoordinatorRecord("a", 7, "127.0.0.1:1", new StoreVersion(1, 6));
        election.onWritten(next, 9 * SECOND, 9 * SECOND);

        assertThat(election.formerCoordinators().grantsSentBy()).isEqualTo(9 * SECOND);
    }

    @Test
    void shouldWrite_vacant_isTrueImmediately() {
        mElection.onRead(Optional.of(record("", 1, 5)), 0);

        assertThat(mElection.shouldWrite(0)).isTrue();
    }

    @Test
    void hasAuthority_startsWhenTheWriteIsSent() {
        mElection.onRead(Optional.empty(), 0);
        mElection.onWritten(record("a", 7, 5), 2 * SECOND, 3 * SECOND);

        assertThat(mElection.hasAuthority(2 * SECOND + CoordinatorElection.AUTHORITY_NANOS - 1))
                .isTrue();
        assertThat(mElection.hasAuthority(2 * SECOND + CoordinatorElection.AUTHORITY_NANOS))
                .isFalse();
    }

    @Test
    void hasAuthority_otherTookOver_isFalse() {
        mElection.onRead(Optional.empty(), 0);
        mElection.onWritten(record("a", 7, 5), 0, 0);
        mElection.onRead(Optional.of(record("b", 1, 9)), SECOND);

        assertThat(mElection.hasAuthority(SECOND)).isFalse();
    }

    /** Another daemon may have taken over while the machine was suspended. */
    @Test
    void hasAuthority_resumedAfterSuspension_isFalseUntilLaterWriteIsAccepted() {
        mElection.onRead(Optional.empty(), 0);
        mElection.onWritten(record("a", 7, 5), 0, 0);
        mElection.onResumed(2 * SECOND);

        assertThat(mElection.hasAuthority(2 * SECOND)).isFalse();
        assertThat(mElection.shouldWrite(2 * SECOND)).isTrue();

        mElection.onWritten(record("a", 7, 6), 2 * SECOND, 2 * SECOND);
        assertThat(mElection.hasAuthority(2 * SECOND)).isTrue();
    }

    /** The answer to a renewal can be on its way while the machine is suspended. */
    @Test
    void hasAuthority_answerToWriteFromBeforeSuspension_isFalse() {
        mElection.onRead(Optional.empty(), 0);
        mElection.onWritten(record("a", 7, 5), 0, 0);
        mElection.onResumed(2 * SECOND);

        mElection.onWritten(record("a", 7, 6), SECOND, 2 * SECOND);

        assertThat(mElection.hasAuthority(2 * SECOND)).isFalse();
        assertThat(mElection.shouldWrite(2 * SECOND)).isTrue();
    }

    private static CoordinatorRecord record(
            String daemon, long incarnation, long epoch, long revision) {
        return new CoordinatorRecord(
                daemon, incarnation, "127.0.0.1:1", new StoreVersion(epoch, revision));
    }

    private void takeAuthorityAt(long nanos) {
        mElection.setInitialEpoch(1);
        mElection.onRead(Optional.empty(), nanos);
        mElection.onWritten(record("a", 7, 1, 90), nanos, nanos);
    }

    /**
     * The restored record has a lower revision than the known one. It was ignored, so every daemon
     * wrote at the known revision in vain, and nobody coordinated for the rest of the day.
     */
    @Test
    void onRead_restoredRecordHasLowerRevision_isTaken() {
        takeAuthorityAt(0);
        mElection.onNewEpoch(2, SECOND);

        mElection.onRead(Optional.of(record("a", 7, 1, 40)), SECOND);

        assertThat(mElection.record()).isEqualTo(Optional.of(record("a", 7, 1, 40)));
    }

    @Test
    void shouldWrite_hadAuthorityAtRestore_claimsTheRecordAtOnce() {
        takeAuthorityAt(0);
        mElection.onNewEpoch(2, 4 * SECOND);
        assertThat(mElection.hasAuthority(4 * SECOND)).isTrue();
        assertThat(mElection.shouldWrite(4 * SECOND)).isFalse();

        mElection.onRead(Optional.of(record("b", 3, 1, 40)), 4 * SECOND);
        assertThat(mElection.hasAuthority(4 * SECOND)).isTrue();
        assertThat(mElection.shouldWrite(4 * SECOND)).isTrue();

        mElection.onWritten(record("a", 7, 2, 41), 4 * SECOND, 4 * SECOND);
        assertThat(mElection.hasAuthority(8 * SECOND)).isTrue();
        assertThat(mElection.mayContinue()).isFalse();
    }

    /** The first daemon that writes the record in the new epoch is the coordinator. */
    @Test
    void onConflict_otherWroteInTheNewEpoch_endsAuthority() {
        takeAuthorityAt(0);
        mElection.onNewEpoch(2, SECOND);
        mElection.onRead(Optional.of(record("a", 7, 1, 40)), SECOND);

        mElection.onConflict(record("b", 3, 2, 41), SECOND);

        assertThat(mElection.hasAuthority(SECOND)).isFalse();
        assertThat(mElection.shouldWrite(SECOND)).isFalse();
    }

    /** A renewal from before the restore that the store executes late proves nothing. */
    @Test
    void onConflict_lateWriteOfTheEarlierEpoch_claimIsRepeated() {
        takeAuthorityAt(0);
        mElection.onNewEpoch(2, SECOND);
        mElection.onRead(Optional.of(record("b", 3, 1, 40)), SECOND);

        mElection.onConflict(record("a", 7, 1, 41), SECOND);

        assertThat(mElection.hasAuthority(SECOND)).isTrue();
        assertThat(mElection.shouldWrite(SECOND)).isTrue();
    }

    /** The authority of an unknown daemon from before the restore must have ended. */
    @Test
    void shouldWrite_authorityEndedBeforeRestore_waitsForTakeoverTime() {
        takeAuthorityAt(0);
        long restored = 5 * SECOND;
        mElection.onNewEpoch(2, restored);

        mElection.onRead(Optional.of(record("a", 7, 1, 40)), restored);

        assertThat(mElection.shouldWrite(restored + CoordinatorElection.AUTHORITY_NANOS)).isFalse();
        assertThat(mElection.shouldWrite(restored + CoordinatorElection.TAKEOVER_NANOS)).isTrue();
    }

    /** The backup can hold any earlier record, so none of the shortcuts is safe. */
    @Test
    void shouldWrite_recordOfEarlierEpoch_noShortcutApplies() {
        mElection.setInitialEpoch(2);

        mElection.onRead(Optional.of(record("", 1, 1, 5)), 0);
        assertThat(mElection.shouldWrite(0)).isFalse();

        mElection.onRead(Optional.of(record("a", 6, 1, 6)), 0);
        assertThat(mElection.shouldWrite(0)).isFalse();
    }

    @Test
    void shouldWrite_recordIsMissingAfterRestore_waitsForTakeoverTime() {
        mElection.setInitialEpoch(1);
        mElection.onRead(Optional.of(record("b", 3, 1, 40)), 0);
        mElection.onNewEpoch(2, SECOND);

        mElection.onRead(Optional.empty(), SECOND);

        assertThat(mElection.shouldWrite(SECOND)).isFalse();
        assertThat(mElection.shouldWrite(SECOND + CoordinatorElection.TAKEOVER_NANOS)).isTrue();
    }

    /** Another daemon acts as soon as it sees the vacant record. */
    @Test
    void resign_hasAuthority_endsItAndStandsAgainAfterThePause() {
        mElection.onRead(Optional.empty(), 0);
        mElection.onWritten(record("a", 7, 5), 0, 0);

        mElection.resign(6 * SECOND);
        assertThat(mElection.hasAuthority(SECOND)).isFalse();
        assertThat(mElection.isAbstaining(5 * SECOND)).isTrue();
        mElection.onRead(Optional.of(record("", 7, 6)), SECOND);
        assertThat(mElection.shouldWrite(5 * SECOND)).isFalse();

        // Nobody else was elected.
        assertThat(mElection.shouldWrite(6 * SECOND)).isTrue();
    }

    /** The grants of the term before the resignation may still be held in the next one. */
    @Test
    void resign_electedAgain_formerGrantsWereSentUntilNow() {
        mElection.onRead(Optional.empty(), 0);
        mElection.onWritten(record("a", 7, 5), 0, 0);
        mElection.resign(6 * SECOND);
        mElection.onRead(Optional.of(record("", 7, 6)), SECOND);
        mElection.onWritten(record("a", 7, 7), 6 * SECOND, 7 * SECOND);

        assertThat(mElection.hasAuthority(7 * SECOND)).isTrue();
        assertThat(mElection.formerCoordinators().grantsSentBy()).isEqualTo(7 * SECOND);
    }

    /** A late answer to a write must not restore authority after another daemon took over. */
    @Test
    void hasAuthority_answerToOldWriteIsLate_isFalse() {
        mElection.onRead(Optional.of(record("b", 1, 9)), SECOND);
        mElection.onWritten(record("a", 7, 5), 0, 2 * SECOND);

        assertThat(mElection.hasAuthority(2 * SECOND)).isFalse();
    }
}
