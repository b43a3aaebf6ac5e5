package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Doubles;

import io.netty.handler.codec.http.HttpHeaderNames;

import org.geraniumusher.entry.DecisionLog.Part;

import java.util.concurrent.TimeUnit;

/**
 * Applies what servers say of themselves in the headers of their responses: their load, that they
 * are leaving, and for how long they want no requests. Confined to the event loop.
 *
 * <p>Invariant: from the response on, this daemon acts on it, whether the store says the same or
 * not.
 */
final class ServerNotices {
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Limit of a pause, so that a faulty server is tried again some time. */
    private static final double MAX_RETRY_AFTER_SECONDS = TimeUnit.HOURS.toSeconds(1);

    private static final double NANOS_PER_SECOND = 1e9;

    private final Directory mDirectory;
    private final UpstreamSet mUpstreams;
    private final WireFormat mWire;
    private final EventThread mThread;
    private final DecisionLog mLog;

    ServerNotices(
            Directory directory,
            UpstreamSet upstreams,
            WireFormat wire,
            EventThread thread,
            DecisionLog log) {
        mDirectory = checkNotNull(directory);
        mUpstreams = checkNotNull(upstreams);
        mWire = checkNotNull(wire);
        mThread = checkNotNull(thread);
        mLog = checkNotNull(log);
    }

    /** Processes a response, whose request must still count as in flight. */
    void onResponse(Upstream upstream, UpstreamResponse response, long nowNanos) {
        String load = response.header(mWire.headers().load());
        if (load != null) {
            mWire.decodeLoad(load).ifPresent(report -> upstream.load().onReport(report, nowNanos));
        }
        if (response.header(mWire.headers().serverLeaving()) != null && !upstream.isLeaving()) {
            mUpstreams.markLeaving(upstream);
            // The listeners of the directory send waiting requests, which must not happen within
            // the processing of a response.
            mThread.execute(() -> mDirectory.markLeaving(upstream.entry().incarnationId()));
        }
        if (response.status() == SERVICE_UNAVAILABLE) {
            pause(upstream, response, nowNanos);
        }
    }

    private void pause(Upstream upstream, UpstreamResponse response, long nowNanos) {
        String value = response.header(HttpHeaderNames.RETRY_AFTER.toString());
        Double seconds = value == null ? null : Doubles.tryParse(value.trim());
        if (seconds == null || !Doubles.isFinite(seconds) || seconds <= 0) {
            return;
        }
        double pause = Math.min(seconds, MAX_RETRY_AFTER_SECONDS);
        if (!upstream.load().isPaused(nowNanos)) {
            mLog.write(
                    Part.SERVER,
                    "Server wants no requests for some time",
                    "server",
                    upstream.entry().incarnationId(),
                    "seconds",
                    pause);
        }
        upstream.load().pauseUntil(nowNanos + (long) (pause * NANOS_PER_SECOND));
    }
}
