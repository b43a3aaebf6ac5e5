package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkState;

import java.util.Comparator;

/**
 * A position in the history of the store. Immutable.
 *
 * <p>A restore from a backup sets the revision of the store back, and revisions are then assigned a
 * second time. The epoch rises with each restore, so versions are unique and ordered across
 * restores.
 *
 * @param epoch rises with each restore
 * @param revision revision of the store within the epoch, or negative for none
 */
public record StoreVersion(long epoch, long revision) implements Comparable<StoreVersion> {
    /** Precedes every version of the store. */
    public static final StoreVersion NONE = new StoreVersion(0, -1);

    /** Position of the epoch in a fencing token; the bits below it hold the revision. */
    public static final int EPOCH_SHIFT_BITS = 40;

    private static final long MAX_REVISION = (1L << EPOCH_SHIFT_BITS) - 1;
    private static final long MAX_EPOCH = Long.MAX_VALUE >> EPOCH_SHIFT_BITS;
    private static final Comparator<StoreVersion> ORDER =
            Comparator.comparingLong(StoreVersion::epoch).thenComparingLong(StoreVersion::revision);

    /**
     * Returns the fencing token of a write at this version. It is higher than the tokens of all
     * earlier versions, and equals the revision in epoch 0.
     *
     * @throws IllegalStateException if the epoch or the revision does not fit into a token
     */
    public long toFence() {
        checkState(
                0 <= epoch && epoch <= MAX_EPOCH && 0 <= revision && revision <= MAX_REVISION,
                "no fencing token for %s",
                this);
        return (epoch << EPOCH_SHIFT_BITS) | revision;
    }

    /** Returns whether this version is later than {@code other}. */
    public boolean isAfter(StoreVersion other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StoreVersion other) {
        return ORDER.compare(this, other);
    }
}
