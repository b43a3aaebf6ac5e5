package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;

/** A range of keys, both ends inclusive. Immutable. */
public record KeyRange(int first, int last) {
    /** Largest key. */
    public static final int MAX_KEY = 65_535;

    /** All keys. */
    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /**
     * Throws {@link IllegalArgumentException} if the range is empty or outside of the key space.
     */
    public KeyRange {
        checkArgument(
                0 <= first && first <= last && last <= MAX_KEY,
                "range is empty or outside of the key space: %s to %s",
                first,
                last);
    }

    /** Reports whether {@code key} lies in this range. */
    public boolean contains(int key) {
        return first <= key && key <= last;
    }

    /** Reports whether all keys of {@code other} lie in this range. */
    public boolean encloses(KeyRange other) {
        return first <= other.first && other.last <= last;
    }

    /** Reports whether the ranges have a key in common. */
    public boolean overlaps(KeyRange other) {
        return first <= other.last && other.first <= last;
    }

    /** Returns the number of keys. */
    public int size() {
        return last - first + 1;
    }
}
