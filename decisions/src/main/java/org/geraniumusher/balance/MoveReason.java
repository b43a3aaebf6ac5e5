package org.geraniumusher.balance;

/** States why a slice moves. */
public enum MoveReason {
    /** The slice has no owner, or its owner does not serve any more. */
    OWNER_LOST,
    /** The owner is being drained. */
    DRAIN,
    /** The owner has more than its share of the load, or the target far less. */
    BALANCE
}
