package org.geraniumusher.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

import org.geraniumusher.model.ResultCode;

/** Counts what the daemon does, for its metrics address. Thread-safe. */
final class EntryMetrics {
    private static final long MILLI_NANOS = 1_000_000;

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Counter mRequests = mRegistry.counter("requests");
    private final Counter mAbandoned = mRegistry.counter("requests.caller_left");
    private final Counter mInTime = mRegistry.counter("requests.answered_in_time");
    private final Counter mLate = mRegistry.counter("requests.answered_late");
    private final Histogram mLatency = mRegistry.histogram("requests.latency_ms");

    MetricRegistry registry() {
        return mRegistry;
    }

    Counter requests() {
        return mRequests;
    }

    Counter abandoned() {
        return mAbandoned;
    }

    void onAnswered(long nanos, boolean inTime) {
        mLatency.update(nanos / MILLI_NANOS);
        (inTime ? mInTime : mLate).inc();
    }

    void onFailed(ResultCode code) {
        mRegistry
                .counter("requests.failed." + code.name().toLowerCase(java.util.Locale.ROOT))
                .inc();
    }

    void onCall(String name, String result) {
        mRegistry.counter("calls." + name + "." + result).inc();
    }
}
