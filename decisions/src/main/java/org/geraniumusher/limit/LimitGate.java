package org.geraniumusher.limit;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Lets the requests of this daemon to one incarnation of a server pass: all of them while the
 * server names no limit, otherwise one for each permit. Not thread-safe.
 *
 * <p>Invariants: a permit lets one request pass, within {@link PermitSchedule#VALID_NANOS} from its
 * time on. At most one ask for permits is in flight. Without an answer to it, this daemon uses a
 * part of the rate that does not depend on others: half of an equal share, from a random time on,
 * so that the daemons that are cut off from the coordinator stay far below the limit together. All
 * times are in nanoseconds.
 */
public final class LimitGate {
    /** Part of an equal share of the rate that is used without the coordinator. */
    private static final double UNCOORDINATED_FRACTION = 0.5;

    /** Limit of the time for which a caller is asked to stay away. */
    private static final long MAX_RETURN_NANOS = 10_000_000_000L;

    /** Longest time for which a daemon without a permit waits until it asks again. */
    private static final long MAX_TURN_NANOS = 2_000_000_000L;

    private static final int MAX_WANTED = 64;

    private static final double NANOS_PER_SECOND = 1e9;

    private final NamedLimit mLimit = new NamedLimit();

    /** Chooses where in a span a daemon begins, from 0 to 1, so that daemons are spread over it. */
    private final double mPhase;

    /** Times from which the permits that are held can be used, the earliest first. */
    private final Deque<Long> mPermits = new ArrayDeque<>();

    private int mWanted;
    private int mMostUrgentRank;
    private long mLongestWaitNanos;
    private boolean mAskInFlight;

    /** Time from which the next permit can be used, as far as known. */
    private long mNextPermitNanos = Long.MIN_VALUE / 2;

    /** Time before which a permit is not asked for that no request waits for. */
    private long mNextTurnNanos = Long.MIN_VALUE / 2;

    private long mIntervalNanos;
    private long mReturnIntervalNanos;
    private long mLastReturnNanos = Long.MIN_VALUE / 2;
    private Optional<PermitSchedule> mOwnSchedule = Optional.empty();

    /**
     * What is asked of the coordinator.
     *
     * @param wanted number of permits
     * @param waitNanos the longest time for which one of the requests may wait
     * @param rank urgency of the most urgent of them
     */
    public record Ask(int wanted, long waitNanos, int rank) {}

    /**
     * Creates a gate that is open.
     *
     * @param phase random number from 0 to 1
     */
    public LimitGate(double phase) {
        checkArgument(phase >= 0 && phase <= 1, "phase is not between 0 and 1: %s", phase);
        mPhase = phase;
    }

    /** Returns the limit of the server. */
    public NamedLimit limit() {
        return mLimit;
    }

    /** Returns whether a request may pass now. */
    public boolean isOpen(long nowNanos) {
        return !mLimit.isActive() || hasPermit(nowNanos);
    }

    /** Returns whether the server has a limit and a request may pass by a permit now. */
    public boolean hasPermit(long nowNanos) {
        mPermits.removeIf(at -> nowNanos - at > PermitSchedule.VALID_NANOS);
        return mLimit.isActive() && !mPermits.isEmpty() && mPermits.peek() <= nowNanos;
    }

    /** Lets a request pass if one may; takes a permit if the server has a limit. */
    public boolean tryPass(long nowNanos) {
        boolean open = isOpen(nowNanos);
        if (open && mLimit.isActive()) {
            mPermits.remove();
        }
        return open;
    }

    /**
     * Records that a request waits for a permit.
     *
     * @param waitNanos time for which it may wait
     * @param rank its urgency, 0 being the highest
     */
    public void want(long waitNanos, int rank) {
        mMostUrgentRank = mWanted == 0 ? rank : Math.min(mMostUrgentRank, rank);
        mLongestWaitNanos = mWanted == 0 ? waitNanos : Math.max(mLongestWaitNanos, waitNanos);
        mWanted = Math.min(MAX_WANTED, mWanted + 1);
    }

    /** Records that a later request could use a permit, if it is the turn of this daemon to ask. */
    public void wantForLater(long nowNanos) {
        if (nowNanos >= mNextTurnNanos && mPermits.isEmpty()) {
            want(0, 0);
        }
    }

    /**
     * Returns what is to be asked for all requests since the last call, or empty if nothing is or
     * an ask is in flight. Otherwise {@link #onBooked}, {@link #onNoAnswer} or {@link #onNoLimit}
     * must follow.
     */
    public Optional<Ask> beginAsk(long nowNanos) {
        mPermits.removeIf(at -> nowNanos - at > PermitSchedule.VALID_NANOS);
        int missing = mWanted - mPermits.size();
        mWanted = 0;
        if (!mLimit.isActive() || mAskInFlight || missing <= 0) {
            return Optional.empty();
        }
        mAskInFlight = true;
        return Optional.of(new Ask(missing, mLongestWaitNanos, mMostUrgentRank));
    }

    /** Processes the answer of the coordinator to the ask in flight. */
    public void onBooked(PermitLedger.Grant grant, long nowNanos) {
        mOwnSchedule = Optional.empty();
        onAnswer(grant.booking(), grant.askers(), nowNanos);
    }

    /** Ends the ask in flight, as the server has no limit any more. */
    public void onNoLimit() {
        mAskInFlight = false;
    }

    /**
     * Processes that the ask in flight got no answer.
     *
     * @param daemons number of daemons, or 0 if it is not known
     */
    public void onNoAnswer(Ask ask, int daemons, long nowNanos) {
        if (daemons == 0) {
            mAskInFlight = false;
            mNextPermitNanos = nowNanos + PermitSchedule.MAX_AHEAD_NANOS;
            return;
        }
        double rate = mLimit.permittedPerSecond() * UNCOORDINATED_FRACTION / daemons;
        long interval = (long) (NANOS_PER_SECOND / rate);
        if (mOwnSchedule.isEmpty()) {
            long first = nowNanos + (long) (mPhase * interval);
            mOwnSchedule = Optional.of(new PermitSchedule(first));
        }
        onAnswer(
                mOwnSchedule.get().book(rate, ask.wanted(), ask.waitNanos(), ask.rank(), nowNanos),
                daemons,
                nowNanos);
    }

    private void onAnswer(PermitSchedule.Booking booking, int askers, long nowNanos) {
        mAskInFlight = false;
        for (int i = 0; i < booking.count(); i++) {
            mPermits.add(nowNanos + booking.delayNanos() + i * booking.intervalNanos());
        }
        mIntervalNanos = booking.intervalNanos();
        mNextPermitNanos = nowNanos + booking.nextDelayNanos();
        mReturnIntervalNanos = Math.min(MAX_RETURN_NANOS, mIntervalNanos * askers);
        long turnNanos = booking.nextDelayNanos() + (long) (mPhase * mReturnIntervalNanos);
        mNextTurnNanos = nowNanos + Math.min(MAX_TURN_NANOS, turnNanos);
    }

    /**
     * Returns when one more request may pass beside those that wait already, as far as known;
     * {@code nowNanos} if it may now.
     */
    public long opensAtNanos(long nowNanos) {
        if (isOpen(nowNanos)) {
            return nowNanos;
        }
        int ahead = mWanted;
        for (long permit : mPermits) {
            if (ahead == 0) {
                return Math.max(nowNanos, permit);
            }
            ahead--;
        }
        return Math.max(nowNanos, mNextPermitNanos) + ahead * mIntervalNanos;
    }

    /**
     * Returns when the caller of a request that did not pass should return. Each call returns a
     * later time, so that callers return no faster than the server takes their requests.
     */
    public long nextReturnNanos(long nowNanos) {
        long earliest = Math.max(opensAtNanos(nowNanos), mLastReturnNanos + mReturnIntervalNanos);
        mLastReturnNanos = Math.min(earliest, nowNanos + MAX_RETURN_NANOS);
        return mLastReturnNanos;
    }
}
