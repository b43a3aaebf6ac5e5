package org.geraniumusher.model;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against fencing tokens that are given out again after a restore of the store. */
final class StoreVersionTest {
    @Test
    void toFence_revisionIsLowerAfterRestore_isHigher() {
        StoreVersion before = new StoreVersion(1, 1_000_000_000L);
        StoreVersion after = new StoreVersion(2, 1);

        assertThat(after.toFence()).isGreaterThan(before.toFence());
        assertThat(after.isAfter(before)).isTrue();
        assertThat(before.isAfter(before)).isFalse();
    }

    /** Tables that were written before epochs existed keep their fences. */
    @Test
    void toFence_epochZero_isTheRevision() {
        assertThat(new StoreVersion(0, 57).toFence()).isEqualTo(57);
    }

    /** JSON readers that use floating-point numbers keep a fence up to 2^53 exactly. */
    @Test
    void toFence_thousandsOfRestores_isExactAsDouble() {
        long fence = new StoreVersion(8_000, 999_999_999_999L).toFence();

        assertThat((long) (double) fence).isEqualTo(fence);
    }

    @Test
    void toFence_revisionTooLarge_throws() {
        StoreVersion version = new StoreVersion(0, 1L << StoreVersion.EPOCH_SHIFT_BITS);

        assertThrows(IllegalStateException.class, version::toFence);
        assertThrows(IllegalStateException.class, StoreVersion.NONE::toFence);
    }
}
