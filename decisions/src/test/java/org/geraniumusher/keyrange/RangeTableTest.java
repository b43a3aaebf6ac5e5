package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Guards against tables with gaps or overlaps, and fences that differ from the revision. */
final class RangeTableTest {
    private static final StoreVersion VERSION = new StoreVersion(2, 8);

    private static Assignment assignment(int first, int last, String owner) {
        return Assignment.of(new KeyRange(first, last), owner);
    }

    @Test
    void of_unsetFence_isSetToTheFenceOfTheVersion() {
        Assignment old = new Assignment(new KeyRange(0, 9), "a", 3, ImmutableList.of());

        RangeTable table = RangeTable.of(VERSION, List.of(assignment(10, 65_535, "b"), old));

        assertThat(table.find(0).fence()).isEqualTo(3);
        assertThat(table.find(10).fence()).isEqualTo(VERSION.toFence());
    }

    @Test
    void of_gap_throws() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        RangeTable.of(
                                VERSION,
                                List.of(assignment(0, 9, "a"), assignment(11, 65_535, "b"))));
    }

    @Test
    void of_overlap_throws() {
        assertThrows(
                IllegalArgumentException.class,
                () ->
                        RangeTable.of(
                                VERSION,
                                List.of(assignment(0, 9, "a"), assignment(9, 65_535, "b"))));
    }

    @Test
    void find_firstAndLastKeys_returnsTheirAssignment() {
        RangeTable table =
                RangeTable.of(
                        VERSION,
                        List.of(
                                assignment(0, 9, "a"),
                                assignment(10, 10, "b"),
                                assignment(11, 65_535, "c")));

        assertThat(table.find(9).owner()).isEqualTo("a");
        assertThat(table.find(10).owner()).isEqualTo("b");
        assertThat(table.find(11).owner()).isEqualTo("c");
        assertThat(table.find(65_535).owner()).isEqualTo("c");
    }
}
