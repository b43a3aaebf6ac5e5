package org.geraniumusher.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Detects that a server incarnation crashed while it ran requests, and which requests these were.
 *
 * <p>Requests that broke without a response are suspects once their incarnation is proved to have
 * ended: its address refuses consecutive connections, or a later incarnation is listed in its
 * place. A server that loses a single response answers others; one over its connection limit
 * accepts some connections in between; a server that is cut off refuses none. What comes right
 * after the first broken request proves nothing, since a crash does not close the connections and
 * the port of a server at the same moment. The caller reports neither leaving servers nor attempts
 * that it cancelled itself.
 *
 * <p>Invariants: each incarnation crashes at most once; memory is bounded. Times are in nanoseconds
 * of a monotonic clock. Not thread-safe.
 *
 * @param <T> a request in progress
 */
public final class CrashDetector<T> {
    /**
     * Consecutive refused connections that prove the end of the incarnation. The caller leaves
     * {@link #PROBE_INTERVAL_NANOS} between them.
     */
    public static final int MIN_REFUSALS = 3;

    /** Interval between two connections that the caller opens to prove the end. */
    public static final long PROBE_INTERVAL_NANOS = 150_000_000L;

    /** Time after the last broken request within which the end must be proved. */
    public static final long MAX_PROOF_NANOS = 5_000_000_000L;

    /**
     * Time after a broken request in which an answer or an accepted connection proves nothing: the
     * answer may have been sent before the crash and read after it, and the port may close last.
     */
    private static final long CRASH_IN_PROGRESS_NANOS = 50_000_000L;

    private static final int MAX_SUSPICIONS = 1_024;
    private static final int MAX_SUSPECTS = 512;
    private static final int MAX_CRASHED_INCARNATIONS = 4_096;

    private final Map<String, Suspicion<T>> mSuspicions = boundedMap(MAX_SUSPICIONS);
    private final Set<String> mCrashedIncarnations =
            Collections.newSetFromMap(boundedMap(MAX_CRASHED_INCARNATIONS));

    /**
     * A crash.
     *
     * @param suspects the requests that were in progress
     * @param omittedSuspects number of further requests that were in progress
     */
    public record Crash<T>(String incarnationId, ImmutableList<T> suspects, int omittedSuspects) {}

    private static final class Suspicion<T> {
        private final List<T> mSuspects = new ArrayList<>();
        private int mOmitted;
        private int mRefusals;
        private boolean mAccepted;
        private final long mFirstBrokenAt;
        private long mLastBrokenAt;

        Suspicion(long firstBrokenAt) {
            mFirstBrokenAt = firstBrokenAt;
        }
    }

    private CrashDetector() {}

    /** Returns a detector without observations. */
    public static <T> CrashDetector<T> create() {
        return new CrashDetector<>();
    }

    private static <V> Map<String, V> boundedMap(int maxSize) {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                return size() > maxSize;
            }
        };
    }

    /**
     * Records that a request broke without a response.
     *
     * @return whether the caller is to probe the address of the incarnation
     */
    public boolean onBroken(String incarnationId, T request, long nowNanos) {
        checkNotNull(request);
        expire(nowNanos);
        if (mCrashedIncarnations.contains(incarnationId)) {
            return false;
        }
        Suspicion<T> suspicion = mSuspicions.get(incarnationId);
        boolean probe = suspicion == null || suspicion.mAccepted;
        if (probe) {
            // A connection that was accepted shows that the earlier requests broke for themselves.
            suspicion = new Suspicion<>(nowNanos);
            mSuspicions.put(incarnationId, suspicion);
        }
        suspicion.mLastBrokenAt = nowNanos;
        if (suspicion.mSuspects.size() < MAX_SUSPECTS) {
            suspicion.mSuspects.add(request);
        } else {
            suspicion.mOmitted++;
        }
        return probe;
    }

    /** Records a response of the incarnation, which shows that it did not crash before. */
    public void onAnswered(String incarnationId, long nowNanos) {
        Suspicion<T> suspicion = mSuspicions.get(incarnationId);
        if (suspicion != null && nowNanos - suspicion.mLastBrokenAt >= CRASH_IN_PROGRESS_NANOS) {
            mSuspicions.remove(incarnationId);
        }
    }

    /**
     * Records that the address of the incarnation accepted a connection. A later incarnation may
     * have accepted it, so this does not end the suspicion.
     *
     * @return whether the caller is to probe again, because the crash may be in progress
     */
    public boolean onAccepted(String incarnationId, long nowNanos) {
        Suspicion<T> suspicion = mSuspicions.get(incarnationId);
        if (suspicion == null) {
            return false;
        }
        suspicion.mRefusals = 0;
        suspicion.mAccepted = nowNanos - suspicion.mFirstBrokenAt >= CRASH_IN_PROGRESS_NANOS;
        return !suspicion.mAccepted;
    }

    /** Records that a probe was refused; returns the crash if this proves it. */
    public Optional<Crash<T>> onRefused(String incarnationId, long nowNanos) {
        expire(nowNanos);
        Suspicion<T> suspicion = mSuspicions.get(incarnationId);
        if (suspicion == null || ++suspicion.mRefusals < MIN_REFUSALS) {
            return Optional.empty();
        }
        return Optional.of(end(incarnationId));
    }

    /** Returns the incarnations whose end would be a crash. */
    public ImmutableList<String> suspicions(long nowNanos) {
        expire(nowNanos);
        return ImmutableList.copyOf(mSuspicions.keySet());
    }

    /** Records that a later incarnation runs in place of this one; returns the crash, if any. */
    public Optional<Crash<T>> onSuperseded(String incarnationId) {
        return mSuspicions.containsKey(incarnationId)
                ? Optional.of(end(incarnationId))
                : Optional.empty();
    }

    /** Forgets the suspicion, because the incarnation left as planned. */
    public void onLeft(String incarnationId) {
        mSuspicions.remove(incarnationId);
    }

    private Crash<T> end(String incarnationId) {
        Suspicion<T> suspicion = mSuspicions.remove(incarnationId);
        mCrashedIncarnations.add(incarnationId);
        return new Crash<>(
                incarnationId, ImmutableList.copyOf(suspicion.mSuspects), suspicion.mOmitted);
    }

    private void expire(long nowNanos) {
        Iterator<Suspicion<T>> each = mSuspicions.values().iterator();
        while (each.hasNext()) {
            if (nowNanos - each.next().mLastBrokenAt > MAX_PROOF_NANOS) {
                each.remove();
            }
        }
    }
}
