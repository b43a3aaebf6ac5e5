package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;

import io.netty.handler.codec.http.HttpHeaderNames;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.operator.Leaving;

import java.util.List;

/**
 * Applies what servers say of themselves in the headers of their responses: their load, that they
 * are leaving, for how long they want no requests, and how many a second they take. Confined to the
 * event loop.
 *
 * <p>Invariant: from the response on, this daemon acts on it, whether the store says the same or
 * not.
 */
final class ServerNotices {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int MISDIRECTED = 421;

    private static final int MAX_LOGGED_CHARS = 200;

    private final Directory mDirectory;
    private final UpstreamSet mUpstreams;
    private final WireFormat mWire;
    private final EventThread mThread;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private final ServerPauses mPauses;
    private final ServerLimits mLimits;

    ServerNotices(
            Directory directory,
            UpstreamSet upstreams,
            WireFormat wire,
            EventThread thread,
            DecisionLog log,
            EntryMetrics metrics,
            ServerLimits limits) {
        mDirectory = checkNotNull(directory);
        mUpstreams = checkNotNull(upstreams);
        mWire = checkNotNull(wire);
        mThread = checkNotNull(thread);
        mLog = checkNotNull(log);
        mMetrics = checkNotNull(metrics);
        mLimits = checkNotNull(limits);
        mPauses = new ServerPauses(thread, log, metrics);
        upstreams.setListener(mPauses);
    }

    /**
     * Processes a response, whose request must still count as in flight.
     *
     * @param sentAtNanos when that request was sent
     */
    void onResponse(Upstream upstream, UpstreamResponse response, long sentAtNanos, long nowNanos) {
        String load = response.header(mWire.headers().load());
        if (load != null) {
            mWire.decodeLoad(load).ifPresent(report -> upstream.load().onReport(report, nowNanos));
        }
        if (response.header(mWire.headers().serverLeaving()) != null) {
            onSaidLeaving(upstream);
        }
        // A response with 421 is that of another server.
        if (response.status() != MISDIRECTED) {
            List<String> limits = response.headers(mWire.headers().serverLimit());
            mLimits.onAnswer(upstream, limits, sentAtNanos, nowNanos);
        }
        if (response.status() == SERVICE_UNAVAILABLE) {
            pause(upstream, response, nowNanos);
        }
    }

    /** Processes a response that a peer got from a server and that goes on to a caller. */
    void onPassedOn(UpstreamResponse response) {
        String incarnationId = response.header(PeerForwarder.SERVER_HEADER);
        if (incarnationId != null && response.header(mWire.headers().serverLeaving()) != null) {
            Upstream upstream = mUpstreams.get(incarnationId);
            if (upstream == null) {
                rememberLeaving(incarnationId);
            } else {
                onSaidLeaving(upstream);
            }
        }
    }

    private void onSaidLeaving(Upstream upstream) {
        if (!upstream.isLeaving()) {
            mMetrics.onSaidLeaving();
            mUpstreams.markLeaving(upstream, Leaving.SAID);
        }
        // An upstream whose entry was removed is leaving too, but its entry may come back.
        rememberLeaving(upstream.entry().incarnationId());
    }

    private void rememberLeaving(String incarnationId) {
        if (!mDirectory.isLeaving(incarnationId)) {
            // The listeners of the directory send waiting requests, which must not happen within
            // the processing of a response.
            mThread.execute(() -> mDirectory.markLeaving(incarnationId));
        }
    }

    private void pause(Upstream upstream, UpstreamResponse response, long nowNanos) {
        List<String> values = response.headers(HttpHeaderNames.RETRY_AFTER.toString());
        switch (upstream.load().pause().onUnavailable(values, nowNanos)) {
            case BEGUN, EXTENDED -> mPauses.onPaused(upstream, nowNanos);
            case IGNORED_FIRST -> {
                mMetrics.onRetryAfterIgnored();
                logIgnored(upstream, values);
            }
            case IGNORED_AGAIN -> mMetrics.onRetryAfterIgnored();
            default -> {}
        }
    }

    private void logIgnored(Upstream upstream, List<String> values) {
        mLog.write(
                Part.SERVER,
                "Retry-After of a server is no number of seconds and is ignored",
                "server",
                upstream.entry().incarnationId(),
                "values",
                Ascii.truncate(String.join("; ", values), MAX_LOGGED_CHARS, "..."));
    }
}
