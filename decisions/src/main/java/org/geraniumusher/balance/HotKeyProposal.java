package org.geraniumusher.balance;

/** Proposes a change of the division into slices. Immutable and thread-safe. */
public sealed interface HotKeyProposal {
    /** Returns the hash of the key. */
    long hash();

    /**
     * Proposes to make a key a slice of its own, with the present owner.
     *
     * @param requestsPerSecond load that the key has at least
     */
    record Split(long hash, double requestsPerSecond) implements HotKeyProposal {}

    /**
     * Proposes to join the slice of a key that has cooled with a neighbour. Slices of two owners
     * can be joined only after a move, which the caller decides.
     */
    record Merge(long hash) implements HotKeyProposal {}
}
