package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.keyrange.NextOwner;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Guards against requests that are refused although the owner of their key holds a grant. */
final class RangeTableCacheTest {
    private static final String SERVICE = "s";

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final RangeTableCache mTables = mFixture.createContext("d").directory().tables();

    @AfterEach
    void closeFixture() {
        mFixture.close();
    }

    private static RangeTable table(long revision, String owner, String... previous) {
        return RangeTable.of(
                new StoreVersion(0, revision),
                List.of(
                        new Assignment(
                                KeyRange.ALL, owner, revision, ImmutableList.copyOf(previous))));
    }

    /**
     * After a restore the store, or a daemon that polled it, reports the table of the backup. Its
     * revision can be anything, since revisions are assigned again.
     */
    @Test
    void updateIfNewer_tableOfEarlierEpochWithHigherRevision_isIgnored() {
        RangeTable current = RangeTable.of(new StoreVersion(2, 5), table(5, "b").assignments());
        mTables.updateIfNewer(SERVICE, current, true);

        mTables.updateIfNewer(SERVICE, table(90, "a"), false);

        assertThat(mTables.table(SERVICE).orElseThrow()).isSameInstanceAs(current);
    }

    private boolean mayServe() {
        return mTables.mayServe(SERVICE, mTables.table(SERVICE).orElseThrow().find(7));
    }

    @Test
    void mayServe_movingRange_trueOnceGrantIsKnown() {
        mTables.updateIfNewer(SERVICE, table(5, "b", "a"), true);
        assertThat(mayServe()).isFalse();

        mTables.addGrant(SERVICE, 0, 5);

        assertThat(mayServe()).isTrue();
    }

    /** A request must not be rejected for what was known before the grant, or of another table. */
    @Test
    void nextOwnerNotBefore_rangeIsGrantedOrHasAnotherFence_isNotKnown() {
        long later = 5_000_000_000L;
        assertThat(mTables.nextOwnerNotBefore(SERVICE, 7, 0)).isEqualTo(0);
        mTables.updateIfNewer(SERVICE, table(5, "b", "a"), true);
        mTables.setNextOwners(SERVICE, List.of(new NextOwner(0, 5, later)));
        assertThat(mTables.nextOwnerNotBefore(SERVICE, 7, 0)).isGreaterThan(later / 2);

        mTables.addGrant(SERVICE, 0, 5);
        assertThat(mTables.nextOwnerNotBefore(SERVICE, 7, 0)).isEqualTo(0);

        mTables.updateIfNewer(SERVICE, table(6, "c", "b"), true);
        assertThat(mTables.nextOwnerNotBefore(SERVICE, 7, 0)).isEqualTo(0);
    }

    /** The message with the grant may arrive before the one with the table. */
    @Test
    void mayServe_grantArrivesBeforeTable_isKept() {
        mTables.updateIfNewer(SERVICE, table(5, "a"), true);
        mTables.addGrant(SERVICE, 0, 6);

        mTables.updateIfNewer(SERVICE, table(6, "b", "a"), true);

        assertThat(mayServe()).isTrue();
    }

    /** A grant from an earlier move does not apply to the next move of the range. */
    @Test
    void mayServe_nextMoveStarts_earlierGrantIsIgnored() {
        mTables.updateIfNewer(SERVICE, table(5, "b", "a"), true);
        mTables.addGrant(SERVICE, 0, 5);

        mTables.updateIfNewer(SERVICE, table(6, "c", "b"), true);

        assertThat(mayServe()).isFalse();
    }
}
