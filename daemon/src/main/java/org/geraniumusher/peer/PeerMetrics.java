package org.geraniumusher.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counts what the transport sends, receives and drops. Thread-safe. */
final class PeerMetrics {
    private final Counter mSentBytes;
    private final Counter mReceivedBytes;
    private final Counter mSendFailed;
    private final Counter mDropped;
    private final Counter mMalformed;
    private final Counter mOversized;

    PeerMetrics(MetricRegistry registry) {
        mSentBytes = registry.counter("peer.sent_bytes");
        mReceivedBytes = registry.counter("peer.received_bytes");
        mSendFailed = registry.counter("peer.send_failed");
        mDropped = registry.counter("peer.dropped");
        mMalformed = registry.counter("peer.malformed");
        mOversized = registry.counter("peer.oversized");
    }

    void onSent(int bytes) {
        mSentBytes.inc(bytes);
    }

    void onReceived(int bytes) {
        mReceivedBytes.inc(bytes);
    }

    /** Counts a message that the network did not take. */
    void onSendFailed() {
        mSendFailed.inc();
    }

    /** Counts a message or connection that exceeds a bound of this daemon. */
    void onDropped() {
        mDropped.inc();
    }

    /** Counts input that is not a message. */
    void onMalformed() {
        mMalformed.inc();
    }

    /** Counts a message that is too large to send or to take. */
    void onOversized() {
        mOversized.inc();
    }
}
