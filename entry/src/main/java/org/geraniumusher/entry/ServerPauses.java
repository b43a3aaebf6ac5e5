package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.entry.DecisionLog.Part;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Counts the pauses that servers ask for, and logs the begin and the end of each. Confined to the
 * event loop.
 *
 * <p>Invariant: each pause whose begin was logged is logged once as ended. One of an incarnation
 * that is removed is logged as ended, and as begun again if the incarnation is listed again.
 */
final class ServerPauses implements UpstreamSet.Listener {
    /**
     * Least lengthening that is logged. Requests in transit when a pause begins are rejected with a
     * slightly later end each.
     */
    private static final long MIN_LOGGED_EXTENSION_NANOS = 500_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final EventThread mThread;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;

    /** The pauses that have not ended, by incarnation ID. */
    private final Map<String, Pause> mPauses = new HashMap<>();

    private static final class Pause {
        private final long mBeganAtNanos;
        private long mLoggedUntilNanos;
        private ScheduledFuture<?> mEnd;

        Pause(long beganAtNanos, long untilNanos) {
            mBeganAtNanos = beganAtNanos;
            mLoggedUntilNanos = untilNanos;
        }
    }

    ServerPauses(EventThread thread, DecisionLog log, EntryMetrics metrics) {
        mThread = checkNotNull(thread);
        mLog = checkNotNull(log);
        mMetrics = checkNotNull(metrics);
    }

    /** Records that a pause of a server has begun or ends later than before. */
    void onPaused(Upstream upstream, long nowNanos) {
        long until = upstream.load().pausedUntil(nowNanos);
        Pause pause = mPauses.get(upstream.entry().incarnationId());
        if (pause == null) {
            mMetrics.onPause();
            begin(upstream, nowNanos);
        } else if (until - pause.mLoggedUntilNanos >= MIN_LOGGED_EXTENSION_NANOS) {
            pause.mLoggedUntilNanos = until;
            logUntil("Server wants no requests for longer", upstream, until - nowNanos);
        }
    }

    private void begin(Upstream upstream, long nowNanos) {
        long until = upstream.load().pausedUntil(nowNanos);
        Pause pause = new Pause(nowNanos, until);
        mPauses.put(upstream.entry().incarnationId(), pause);
        scheduleEnd(upstream, pause, until - nowNanos);
        logUntil("Server wants no requests for some time", upstream, until - nowNanos);
    }

    private void logUntil(String event, Upstream upstream, long leftNanos) {
        mLog.write(
                Part.SERVER,
                event,
                "server",
                upstream.entry().incarnationId(),
                "seconds",
                leftNanos / NANOS_PER_SECOND);
    }

    private void scheduleEnd(Upstream upstream, Pause pause, long delayNanos) {
        pause.mEnd =
                mThread.schedule(
                        () -> endIfOver(upstream, pause), delayNanos, TimeUnit.NANOSECONDS);
    }

    private void endIfOver(Upstream upstream, Pause pause) {
        long now = upstream.nowNanos();
        long left = upstream.load().pausedUntil(now) - now;
        if (left > 0) {
            scheduleEnd(upstream, pause, left);
        } else {
            mPauses.remove(upstream.entry().incarnationId());
            logEnd(upstream, pause, "over");
        }
    }

    /** Logs the rest of the pause that an incarnation had when it was removed. */
    @Override
    public void onAdded(Upstream upstream) {
        long now = upstream.nowNanos();
        if (upstream.load().isPaused(now)
                && !mPauses.containsKey(upstream.entry().incarnationId())) {
            begin(upstream, now);
        }
    }

    /** Logs the end of the pause of an incarnation, if it has one. */
    @Override
    public void onRemoved(Upstream upstream) {
        Pause pause = mPauses.remove(upstream.entry().incarnationId());
        if (pause != null) {
            pause.mEnd.cancel(false);
            logEnd(upstream, pause, "server is gone");
        }
    }

    private void logEnd(Upstream upstream, Pause pause, String cause) {
        mLog.write(
                Part.SERVER,
                "Pause of a server ended",
                "server",
                upstream.entry().incarnationId(),
                "cause",
                cause,
                "seconds",
                (upstream.nowNanos() - pause.mBeganAtNanos) / NANOS_PER_SECOND);
    }
}
