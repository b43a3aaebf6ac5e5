package org.geraniumusher.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Holds the periods and limits of the failure detector. Immutable and thread-safe.
 *
 * @param probePeriodNanos time between two probes of a daemon
 * @param ackTimeoutNanos time after which a direct probe counts as unanswered
 * @param indirectProbes number of daemons asked to probe for this one
 * @param suspicionFactor probe periods that a suspicion lasts, times the decimal digits of the
 *     number of members; gossip takes time logarithmic in that number
 * @param transmitFactor transmissions of an update, times the same digits
 * @param pauseNanos longest time between two ticks that does not count as a pause
 */
public record DetectorSettings(
        long probePeriodNanos,
        long ackTimeoutNanos,
        int indirectProbes,
        int suspicionFactor,
        int transmitFactor,
        long pauseNanos) {
    /** Settings of the design: period 500 ms, 3 indirect probes, pause 500 ms. */
    public static final DetectorSettings DEFAULT =
            new DetectorSettings(
                    Duration.ofMillis(500).toNanos(),
                    Duration.ofMillis(150).toNanos(),
                    3,
                    3,
                    4,
                    Duration.ofMillis(500).toNanos());

    /** Checks that the indirect probes have time to be answered within the period. */
    public DetectorSettings {
        checkArgument(
                ackTimeoutNanos > 0 && ackTimeoutNanos < probePeriodNanos,
                "acknowledgement timeout %s ns in a period of %s ns",
                ackTimeoutNanos,
                probePeriodNanos);
        checkArgument(indirectProbes >= 1, "bad number of indirect probes: %s", indirectProbes);
        checkArgument(suspicionFactor >= 1, "bad suspicion factor: %s", suspicionFactor);
        checkArgument(transmitFactor >= 1, "bad transmit factor: %s", transmitFactor);
        checkArgument(pauseNanos > 0, "bad pause: %s ns", pauseNanos);
    }

    long suspicionNanos(int members) {
        return probePeriodNanos * suspicionFactor * digits(members);
    }

    int transmitLimit(int members) {
        return transmitFactor * digits(members);
    }

    private static int digits(int members) {
        return Integer.toString(Math.max(members, 1)).length();
    }
}
