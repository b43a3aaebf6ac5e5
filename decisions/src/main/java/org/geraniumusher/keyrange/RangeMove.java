package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;

import java.util.List;

/** Moves a window of the keys of one assignment to the incarnation {@code target}. Immutable. */
record RangeMove(KeyRange window, String target) {
    RangeMove {
        checkNotNull(window);
        checkNotNull(target);
    }

    /** Reports whether the window lies in the range of {@code assignment}. */
    boolean appliesTo(Assignment assignment) {
        return assignment.range().encloses(window);
    }

    /**
     * Divides the assignment to which this move applies, if there is one, and assigns the window to
     * its target.
     *
     * @throws IllegalStateException if that assignment is moving already
     */
    void applyTo(List<Assignment> assignments) {
        for (int i = 0; i < assignments.size(); i++) {
            Assignment source = assignments.get(i);
            if (!appliesTo(source)) {
                continue;
            }
            checkState(!source.isMoving(), "assignment is already moving: %s", source);
            assignments.remove(i);
            KeyRange range = source.range();
            if (range.first() < window.first()) {
                KeyRange before = new KeyRange(range.first(), window.first() - 1);
                assignments.add(i++, source.withRange(before));
            }
            assignments.add(
                    i++,
                    new Assignment(
                            window,
                            target,
                            Assignment.UNSET_FENCE,
                            ImmutableList.of(source.owner())));
            if (window.last() < range.last()) {
                KeyRange after = new KeyRange(window.last() + 1, range.last());
                assignments.add(i, source.withRange(after));
            }
            return;
        }
    }
}
