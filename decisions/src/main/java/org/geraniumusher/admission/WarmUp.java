package org.geraniumusher.admission;

/** Selects how the usable slots of a cold server grow. */
public enum WarmUp {
    /** All slots at once; a baseline for measurements only. */
    NONE {
        @Override
        int usableSlots(int coldSlots, int slots, double progress) {
            return slots;
        }
    },
    /** From {@code coldSlots} to {@code slots} in proportion to the work done. */
    BY_WORK {
        @Override
        int usableSlots(int coldSlots, int slots, double progress) {
            return coldSlots + (int) ((slots - coldSlots) * progress);
        }
    };

    /** Returns the slots that may be used at a warm-up progress between 0 and 1. */
    abstract int usableSlots(int coldSlots, int slots, double progress);
}
