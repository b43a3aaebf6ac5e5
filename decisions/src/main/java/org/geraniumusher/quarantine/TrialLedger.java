package org.geraniumusher.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Permits the trials of requests on probation, for the whole fleet: one at a time for each request.
 *
 * <p>Load pattern: copies of a request that crashes servers wait at all daemons until their key has
 * an owner again, and would all reach it before its crash is known.
 *
 * <p>Invariant: no two trials of a request are permitted within {@link #TRIAL_NANOS}. Memory is
 * bounded. All times are in nanoseconds. Not thread-safe.
 */
public final class TrialLedger {
    /**
     * Time that a trial has before the next one may begin. Covers the send, the proof of a crash,
     * and the rejection of the request at all daemons.
     */
    static final long TRIAL_NANOS = 3_000_000_000L;

    static final int MAX_TRIALS = 1_024;

    /** When the last trial of each request began, the oldest first. */
    private final Map<RequestFingerprint, Long> mBegunAt = new LinkedHashMap<>();

    private TrialLedger() {}

    /** Returns a ledger without trials. */
    public static TrialLedger create() {
        return new TrialLedger();
    }

    /**
     * Permits a trial of the request if none is in progress.
     *
     * @return 0 if the trial is permitted, otherwise the time until the next one may begin
     */
    public long tryBegin(RequestFingerprint fingerprint, long nowNanos) {
        checkNotNull(fingerprint);
        mBegunAt.values().removeIf(begunAt -> nowNanos - begunAt >= TRIAL_NANOS);
        Long begunAt = mBegunAt.get(fingerprint);
        if (begunAt != null) {
            return begunAt + TRIAL_NANOS - nowNanos;
        }
        if (mBegunAt.size() >= MAX_TRIALS) {
            return TRIAL_NANOS;
        }
        mBegunAt.put(fingerprint, nowNanos);
        return 0;
    }
}
