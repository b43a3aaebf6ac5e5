package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.Optional;

/** Guards against two daemons that act as the coordinator at the same time. */
final class CoordinatorElectionTest {
    private static final long SECOND = 1_000_000_000L;

    private final CoordinatorElection mElection = CoordinatorElection.create("a", 7);

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

    /** A late answer to a write must not restore authority after another daemon took over. */
    @Test
    void hasAuthority_answerToOldWriteIsLate_isFalse() {
        mElection.onRead(Optional.of(record("b", 1, 9)), SECOND);
        mElection.onWritten(record("a", 7, 5), 0, 2 * SECOND);

        assertThat(mElection.hasAuthority(2 * SECOND)).isFalse();
    }
}
