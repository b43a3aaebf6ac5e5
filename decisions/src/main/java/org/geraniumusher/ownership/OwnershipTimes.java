package org.geraniumusher.ownership;

/** Holds the time limits of the ownership protocol (design page, section 4). Thread-safe. */
public final class OwnershipTimes {
    /** How long an authority lasts after its request was sent. */
    public static final long AUTHORITY_NANOS = 1_000_000_000L;

    /** Longest validity of a grant, in the clock of the server. */
    public static final long GRANT_NANOS = 1_000_000_000L;

    /** How long a daemon may route to an unfenced server after it asked for a confirmation. */
    static final long TABLE_LEASE_NANOS = 1_000_000_000L;

    /** Period of authority requests and of the polls of servers. */
    static final long RENEWAL_NANOS = 250_000_000L;

    /** Silence after which a coordinator, standby or server counts as lost. */
    static final long SILENCE_NANOS = 500_000_000L;

    /** Time between two ticks after which a member counts as having been paused. */
    static final long PAUSE_NANOS = 500_000_000L;

    /** Head start of each daemon over the next one in line for a takeover. */
    static final long TAKEOVER_STEP_NANOS = 250_000_000L;

    /** Time between two attempts to read a store that does not answer. */
    static final long STORE_RETRY_NANOS = 250_000_000L;

    /** Time that the receiving server of a planned move has to warm the slice. */
    static final long WARMING_NANOS = 250_000_000L;

    /** Time for which a daemon that did not answer is not chosen as a standby. */
    static final long EXCLUSION_NANOS = 3_000_000_000L;

    /** Upper bound of the drift between two clocks, in parts per million. */
    private static final long DRIFT_PPM = 2_000;

    private static final long MILLION = 1_000_000;

    private OwnershipTimes() {}

    /** Returns the time that this clock may show when another clock has shown {@code nanos}. */
    static long lengthened(long nanos) {
        return nanos + nanos * DRIFT_PPM / MILLION + 1;
    }

    /** Returns the time that another clock has shown at most when this one has shown this much. */
    static long shortened(long nanos) {
        return nanos * MILLION / (MILLION + DRIFT_PPM);
    }

    /** Returns the time after fencing from which no older grant of a fenced server is valid. */
    static long lapseNanos(boolean fencedServer) {
        long grants = lengthened(AUTHORITY_NANOS);
        // A table lease may be confirmed at the very end of the confirming member's authority.
        return fencedServer ? grants : grants + lengthened(TABLE_LEASE_NANOS);
    }
}
