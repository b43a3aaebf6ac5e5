package org.geraniumusher.keyrange;

import com.google.common.collect.ImmutableSet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Tracks which incarnations of servers the coordinator reaches. A server is lost when its grants
 * fail until its hold on a range has run out: it then holds nothing of that range, whatever its
 * entry says. It stays lost until it answers a call, for which it is probed, and gets ranges again
 * after a pause that grows with each loss, so that the keys of a server with an unsteady link do
 * not go back and forth. A server that was never called counts as reachable.
 *
 * <p>Invariant: a probe releases a range whose hold by the server has run out, so that it takes no
 * key from anyone. All times are in nanoseconds. Not thread-safe.
 */
final class ServerReachability {
    /** Interval of probes, also while earlier ones are in flight. */
    private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;

    /** Time without an answer to a probe after which a server in its pause is lost again. */
    private static final long MAX_SILENCE_NANOS = 2_500_000_000L;

    private static final long MIN_PAUSE_NANOS = 1_000_000_000L;
    private static final long MAX_PAUSE_NANOS = 30_000_000_000L;

    /** Time without a loss, after the pause, from which on earlier losses do not count. */
    private static final long FORGET_NANOS = 60_000_000_000L;

    private final Map<String, State> mStates = new HashMap<>();

    /** The release by which a lost server is probed. */
    record Probe(String incarnationId, KeyRange range, long fence) {}

    private static final class State {
        private boolean mFailing;
        private boolean mLost;
        private boolean mAnswered;
        private long mPauseNanos;
        private long mEligibleAt = Long.MIN_VALUE;
        private Probe mProbe;
        private long mNextProbeAt;
        private long mAnsweredAt;

        private boolean isInPause(long nowNanos) {
            return !mLost && nowNanos < mEligibleAt;
        }

        private boolean isForgotten(long nowNanos) {
            return !mFailing
                    && !mLost
                    && (mPauseNanos == 0 || nowNanos - mEligibleAt >= FORGET_NANOS);
        }
    }

    /** Records that a grant to a server failed. */
    void onGrantFailed(String incarnationId) {
        mStates.computeIfAbsent(incarnationId, id -> new State()).mFailing = true;
    }

    /** Records that a server answered a call; takes effect with {@link #takeReturned}. */
    void onAnswered(String incarnationId) {
        State state = mStates.get(incarnationId);
        if (state != null) {
            state.mFailing = false;
            state.mAnswered = true;
        }
    }

    /** Records that the hold of a server on the range of an assignment ran out unrenewed. */
    void onLost(Assignment assignment, long nowNanos) {
        State state = mStates.computeIfAbsent(assignment.owner(), id -> new State());
        if (state.mLost) {
            return;
        }
        boolean isRepeated = state.mPauseNanos > 0 && nowNanos - state.mEligibleAt < FORGET_NANOS;
        state.mPauseNanos =
                isRepeated ? Math.min(MAX_PAUSE_NANOS, 2 * state.mPauseNanos) : MIN_PAUSE_NANOS;
        state.mLost = true;
        state.mAnswered = false;
        state.mProbe = new Probe(assignment.owner(), assignment.range(), assignment.fence());
        state.mNextProbeAt = nowNanos;
    }

    /**
     * Returns the lost servers that have answered a call since, which are lost no more.
     *
     * @param ownsRanges whether a server is granted ranges, which shows whether it answers
     */
    List<String> takeReturned(Predicate<String> ownsRanges, long nowNanos) {
        List<String> returned = new ArrayList<>();
        mStates.forEach(
                (incarnationId, state) -> {
                    if (state.mAnswered) {
                        state.mAnsweredAt = nowNanos;
                        state.mAnswered = false;
                        if (state.mLost) {
                            state.mLost = false;
                            state.mEligibleAt = nowNanos + state.mPauseNanos;
                            returned.add(incarnationId);
                        }
                    }
                    if (state.isInPause(nowNanos)
                            && nowNanos - state.mAnsweredAt >= MAX_SILENCE_NANOS
                            && !ownsRanges.test(incarnationId)) {
                        state.mLost = true;
                    }
                });
        mStates.values().removeIf(state -> state.isForgotten(nowNanos));
        return returned;
    }

    /** Reports whether a server is lost and has answered no call since. */
    boolean isLost(String incarnationId) {
        State state = mStates.get(incarnationId);
        return state != null && state.mLost;
    }

    /** Returns those of the servers whose last grant failed or which are lost. */
    ImmutableSet<String> failingOf(Collection<String> incarnationIds) {
        return incarnationIds.stream()
                .filter(id -> isLost(id) || mStates.containsKey(id) && mStates.get(id).mFailing)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns a server, which accepts no ranges if it may not be given any now. */
    RangeServer restrict(RangeServer server, long nowNanos) {
        State state = mStates.get(server.incarnationId());
        boolean accepts =
                state == null || !state.mFailing && !state.mLost && nowNanos >= state.mEligibleAt;
        return accepts ? server : new RangeServer(server.incarnationId(), server.capacity(), false);
    }

    /**
     * Returns the probes that are due, and counts them as sent.
     *
     * @param isListed whether a server can be called and may get ranges
     * @param ownsRanges whether a server is granted ranges, which shows whether it answers
     */
    List<Probe> takeDueProbes(
            Predicate<String> isListed, Predicate<String> ownsRanges, long nowNanos) {
        List<Probe> due = new ArrayList<>();
        mStates.forEach(
                (incarnationId, state) -> {
                    boolean isNeeded =
                            state.mLost
                                    || state.isInPause(nowNanos) && !ownsRanges.test(incarnationId);
                    if (isNeeded
                            && nowNanos >= state.mNextProbeAt
                            && isListed.test(incarnationId)) {
                        state.mNextProbeAt = nowNanos + PROBE_INTERVAL_NANOS;
                        due.add(state.mProbe);
                    }
                });
        return due;
    }
}
