package org.geraniumusher.routing;

import org.geraniumusher.model.Route;

/** Holds the state of one request between its arrival and its end. Not thread-safe. */
final class PendingRequest {
    private final long mId;
    private final long mDeadlineNanos;
    private final boolean mForwarded;
    private final boolean mKeyed;
    private final String mService;
    private final long mHash;
    private final boolean mIdempotent;
    private final Route.Priority mPriority;
    private int mAttempts;
    private String mServer = "";

    private PendingRequest(
            long id,
            long deadlineNanos,
            boolean forwarded,
            boolean keyed,
            String service,
            long hash,
            boolean idempotent,
            Route.Priority priority) {
        mId = id;
        mDeadlineNanos = deadlineNanos;
        mForwarded = forwarded;
        mKeyed = keyed;
        mService = service;
        mHash = hash;
        mIdempotent = idempotent;
        mPriority = priority;
    }

    static PendingRequest ofKeyed(
            long id, long deadlineNanos, RouteMatch.Keyed match, boolean idempotent) {
        return new PendingRequest(
                id,
                deadlineNanos,
                false,
                true,
                match.service().name(),
                match.hash(),
                idempotent,
                match.route().priority());
    }

    static PendingRequest ofUnkeyed(
            long id, long deadlineNanos, RouteMatch.Unkeyed match, boolean idempotent) {
        return new PendingRequest(
                id,
                deadlineNanos,
                false,
                false,
                match.service().name(),
                0,
                idempotent,
                match.route().priority());
    }

    static PendingRequest ofForwarded(long id, long deadlineNanos, ForwardedRequest request) {
        PendingRequest pending =
                new PendingRequest(
                        id,
                        deadlineNanos,
                        true,
                        request.keyed(),
                        request.service(),
                        request.hash(),
                        request.idempotent(),
                        request.priority());
        pending.mServer = request.server();
        return pending;
    }

    long id() {
        return mId;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    boolean isForwarded() {
        return mForwarded;
    }

    boolean isKeyed() {
        return mKeyed;
    }

    String service() {
        return mService;
    }

    long hash() {
        return mHash;
    }

    boolean isIdempotent() {
        return mIdempotent;
    }

    Route.Priority priority() {
        return mPriority;
    }

    /** Returns the number of attempts begun. */
    int attempts() {
        return mAttempts;
    }

    /** Returns the backend server of the last attempt, or "". */
    String server() {
        return mServer;
    }

    void beginAttempt(String server) {
        mAttempts++;
        mServer = server;
    }
}
