package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.OptionalLong;

/**
 * Guards against recording that a holder receives no more grants while a coordinator may still send
 * some.
 */
final class FormerHoldersTest {
    private static final KeyRange LOW = new KeyRange(0, 99);
    private static final KeyRange HIGH = new KeyRange(100, KeyRange.MAX_KEY);

    private final FormerHolders mHolders = FormerHolders.create();

    private static Assignment moving(KeyRange range, String owner, String... previous) {
        return new Assignment(range, owner, 1, ImmutableList.copyOf(previous));
    }

    private static RangeTable table(long revision, Assignment... assignments) {
        return RangeTable.of(new StoreVersion(0, revision), List.of(assignments));
    }

    /**
     * The writer may not have learned of its own write yet and may still renew the grants of the
     * former owner.
     */
    @Test
    void noGrantsSince_tableWasOnlyReadFromTheStore_isEmpty() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), false, 10);
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), false, 20);

        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void noGrantsSince_writerSentTheTable_isTimeOfReceipt() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), false, 10);
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), true, 20);
        mHolders.onTable(table(6, moving(KeyRange.ALL, "c", "a")), true, 30);

        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(20));
    }

    /** The writer of the next table has learned that the previous one was accepted. */
    @Test
    void noGrantsSince_laterTableIsReadFromTheStore_isTimeOfRead() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), false, 10);
        mHolders.onTable(table(6, moving(KeyRange.ALL, "c", "a", "b")), false, 20);

        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(20));
        assertThat(mHolders.noGrantsSince("b", KeyRange.ALL)).isEqualTo(OptionalLong.empty());
    }

    @Test
    void noGrantsSince_rangeIsDivided_isKeptForItsParts() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), true, 10);
        mHolders.onTable(table(6, moving(LOW, "b", "a"), moving(HIGH, "c", "a")), true, 20);

        assertThat(mHolders.noGrantsSince("a", LOW)).isEqualTo(OptionalLong.of(10));
        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.empty());
    }

    /**
     * The coordinator of the new epoch may have started from a table in which the former holder
     * still owned the range, and may have granted it again.
     */
    @Test
    void noGrantsSince_tableIsOfLaterEpoch_isReset() {
        Assignment moving = moving(KeyRange.ALL, "b", "a");
        mHolders.onTable(RangeTable.of(new StoreVersion(1, 8), List.of(moving)), true, 10);
        mHolders.onTable(RangeTable.of(new StoreVersion(2, 5), List.of(moving)), false, 20);
        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.empty());

        mHolders.onTable(RangeTable.of(new StoreVersion(1, 9), List.of(moving)), true, 30);
        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.empty());
    }

    /** An incarnation that owns the range again receives grants again. */
    @Test
    void noGrantsSince_formerHolderOwnsTheRangeAgain_isReset() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "b", "a")), true, 10);
        mHolders.onTable(table(6, moving(KeyRange.ALL, "a", "b")), true, 20);
        mHolders.onTable(table(7, moving(KeyRange.ALL, "b", "a")), true, 30);

        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(30));
    }

    /**
     * A table lists the new owner as a former holder too, until its earlier hold is known to have
     * ended. When such an owner counted as a holder without grants, RangeHistoryTest found two
     * holders of a key (isolated servers, seed 279).
     */
    @Test
    void noGrantsSince_ownerIsAmongTheFormerHolders_startsWhenItLosesTheRange() {
        mHolders.onTable(table(5, moving(KeyRange.ALL, "a", "a", "c")), true, 10);
        mHolders.onTable(table(6, moving(KeyRange.ALL, "b", "a", "c")), true, 20);

        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(20));
        assertThat(mHolders.noGrantsSince("c", KeyRange.ALL)).isEqualTo(OptionalLong.of(10));
    }

    /** An older table from a daemon that lags behind must not change the entries. */
    @Test
    void onTable_older_isIgnored() {
        mHolders.onTable(table(6, moving(KeyRange.ALL, "b", "a")), true, 10);
        mHolders.onTable(table(5, moving(KeyRange.ALL, "a")), true, 20);

        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isEqualTo(OptionalLong.of(10));
    }

    /**
     * This daemon missed the table in between, in which a owned the range again and was granted it.
     * Each change of the owner has a fence of its own, which shows that a table was missed.
     */
    @Test
    void noGrantsSince_tableInWhichHolderOwnedAgainWasMissed_isReset() {
        Assignment first = new Assignment(KeyRange.ALL, "b", 5, ImmutableList.of("a"));
        Assignment third = new Assignment(KeyRange.ALL, "c", 7, ImmutableList.of("a", "b"));
        mHolders.onTable(table(5, first), true, 10);
        // Missed: revision 6, the range is owned by a, with fence 6 and the former holder b.
        mHolders.onTable(table(7, third), true, 30);

        assertThat(mHolders.noGrantsSince("a", KeyRange.ALL)).isNotEqualTo(OptionalLong.of(10));
    }
}
