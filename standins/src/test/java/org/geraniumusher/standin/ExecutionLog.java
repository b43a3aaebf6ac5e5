package org.geraniumusher.standin;

import org.geraniumusher.http.HttpCall;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts executions by method and URI, over all backend servers of a process. Thread-safe. */
final class ExecutionLog {
    private final Map<String, Integer> mCounts = new ConcurrentHashMap<>();
    private final Map<String, Long> mLastNanos = new ConcurrentHashMap<>();

    void add(String server, HttpCall call) {
        mCounts.merge(call.method() + " " + call.uri(), 1, Integer::sum);
        mLastNanos.put(server, System.nanoTime());
    }

    /** Returns how often a request ran; URIs are unique per request. */
    int count(String method, String uri) {
        return mCounts.getOrDefault(method + " " + uri, 0);
    }

    /** Reports whether a server has started a request at or after a moment. */
    boolean hasRunSince(String server, long nanos) {
        Long last = mLastNanos.get(server);
        return last != null && last - nanos >= 0;
    }
}
