package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.OptionalLong;

/** Guards against holds that are taken to have begun earlier than a coordinator may grant them. */
final class FormerHoldersTest {
    private static final KeyRange LOW = new KeyRange(0, 99);
    private static final KeyRange HIGH = new KeyRange(100, KeyRange.MAX_KEY);

    private final FormerHolders mHolders = FormerHolders.create();

    private static Assignment moving(KeyRange range, String owner, String... previous) {
        return new Assignment(range, owner, 1, ImmutableList.copyOf(previous));
    }

    private static RangeTable table(long revision, Assignment... assignments) {
        return RangeTable.of(revision, List.of(assignments));
    }

    /** The writer may not have heard of its own write yet, and renew the former owner. */
    @Test
    void since_tableWasOnlyReadFromTheStore_isNotKnown() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), false, 10);
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), false, 20);

        assertThat(mHolders.since("a", KeyRange.ALL)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void since_writerSentTheTable_isThen() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), false, 10);
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), true, 20);
        mHolders.onTable(table(6, moving(KeyRange.ALL, "c", "a")), true, 30);

        assertThat(mHolders.since("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(20));
    }

    /** Who writes the next table has heard of the one before. */
    @Test
    void since_laterTableIsReadFromTheStore_isThen() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), false, 10);
        mHolders.onTable(table(6, moving(KeyRange.ALL, "c", "a", "b")), false, 20);

        assertThat(mHolders.since("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(20));
        assertThat(mHolders.since("b", KeyRange.ALL)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void since_rangeIsDivided_isKeptForItsParts() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), true, 10);
        mHolders.onTable(table(6, moving(LOW, "b", "a"), moving(HIGH, "c", "a")), true, 20);

        assertThat(mHolders.since("a", LOW)).isEqualTo(OptionalLong.of(10));
        assertThat(mHolders.since("a", KeyRange.ALL)).isEqualTo(OptionalLong.empty());
    }

    /** A life that owns the range again gets grants again. */
    @Test
    void since_formerHolderOwnsTheRangeAgain_isForgotten() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), true, 10);
        mHolders.onTable(table(6, moving(KeyRange.ALL, "a", "b")), true, 20);
        mHolders.onTable(table(7, moving(KeyRange.ALL, "b", "a")), true, 30);

        assertThat(mHolders.since("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(30));
    }

    /**
     * The table names a new owner as a former holder as long as its earlier hold is not known to
     * have ended. Found by RangeHistoryTest, seed 279 of the servers that are cut off: two holders.
     */
    @Test
    void since_ownerIsAmongTheFormerHolders_countsFromItsLoss() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "a", "a", "c")), true, 10);
        mHolders.onTable(table(6, moving(KeyRange.ALL, "b", "a", "c")), true, 20);

        assertThat(mHolders.since("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(20));
        assertThat(mHolders.since("c", KeyRange.ALL)).isEqualTo(OptionalLong.of(10));
    }

    /** A copy from a daemon that is behind must not undo what is known. */
    @Test
    void onTable_older_changesNothing() {
        mHolders.onTable(table(6, moving(KeyRange.ALL, "b", "a")), true, 10);
        mHolders.onTable(table(5, moving(KeyRange.ALL, "a")), true, 20);

        assertThat(mHolders.since("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(10));
    }
}
