package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Applies what servers say of themselves in the headers of their responses: their load, and that
 * they are leaving. Confined to the event loop.
 *
 * <p>Invariant: from the response on, this daemon acts on it, whether the store says the same or
 * not.
 */
final class ServerNotices {
    private final Directory mDirectory;
    private final UpstreamSet mUpstreams;
    private final WireFormat mWire;
    private final EventThread mThread;

    ServerNotices(Directory directory, UpstreamSet upstreams, WireFormat wire, EventThread thread) {
        mDirectory = checkNotNull(directory);
        mUpstreams = checkNotNull(upstreams);
        mWire = checkNotNull(wire);
        mThread = checkNotNull(thread);
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
    }
}
