package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Guards against a log that does not say why slices move. */
class MoveSummaryTest {
    @Test
    void between_lostDrainedAndUnevenOwners_saysWhyEachMoves() {
        List<Slice> empty = ShardState.create("catalogue", 5).slices();
        List<Slice> before =
                ImmutableList.of(
                        empty.get(0),
                        empty.get(1).assignedTo("lost", 1),
                        empty.get(2).assignedTo("drained", 2),
                        empty.get(3).assignedTo("busy", 3),
                        empty.get(4).assignedTo("other", 4));
        List<Slice> after =
                ImmutableList.of(
                        before.get(0).assignedTo("other", 5),
                        before.get(1).assignedTo("other", 6),
                        before.get(2).movingTo("other"),
                        before.get(3).movingTo("other"),
                        before.get(4));
        ShardState next = ShardState.create("catalogue", 5).withSlices(6, after);
        MoveSummary summary =
                new MoveSummary("lost"::equals, s -> !s.equals("lost") && !s.equals("drained"));

        assertThat(summary.between(before, next))
                .isEqualTo(
                        "moving 2 slices, preparing 2: 1 without an owner,"
                                + " 1 from busy (to even the load),"
                                + " 1 from drained (out of service), 1 from lost (lost)");
        assertThat(new MoveSummary(s -> false, s -> true).between(after, next)).isEmpty();
    }
}
