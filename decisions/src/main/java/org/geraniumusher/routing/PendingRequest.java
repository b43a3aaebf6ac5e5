package org.geraniumusher.routing;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Route;

import java.util.Optional;

/** Holds the state of one request between its arrival and its end. Not thread-safe. */
final class PendingRequest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long mId;
    private final String mRoute;
    private final long mArrivalNanos;
    private final long mDeadlineNanos;
    private final boolean mForwarded;
    private final boolean mKeyed;
    private final String mService;
    private final long mHash;
    private final boolean mIdempotent;
    private final Route.Priority mPriority;
    private int mAttempts;
    private boolean mMayHaveRun;
    private boolean mCanResend = true;
    private BackendServer mServer;
    private long mEpoch;
    private long mSentNanos;
    private boolean mUnderWay;
    private Optional<Address> mGateway = Optional.empty();

    private PendingRequest(
            long id,
            String route,
            long arrivalNanos,
            long deadlineNanos,
            boolean forwarded,
            boolean keyed,
            String service,
            long hash,
            boolean idempotent,
            Route.Priority priority) {
        mId = id;
        mRoute = route;
        mArrivalNanos = arrivalNanos;
        mDeadlineNanos = deadlineNanos;
        mForwarded = forwarded;
        mKeyed = keyed;
        mService = service;
        mHash = hash;
        mIdempotent = idempotent;
        mPriority = priority;
    }

    static PendingRequest ofCaller(
            long id, long nowNanos, RouteMatch.Found match, boolean idempotent) {
        Route route = match.route();
        return new PendingRequest(
                id,
                route.name(),
                nowNanos,
                nowNanos + route.timeoutMillis() * NANOS_PER_MILLI,
                false,
                match.service().keyed(),
                match.service().name(),
                match.hash(),
                idempotent,
                route.priority());
    }

    static PendingRequest ofForwarded(long id, long nowNanos, ForwardedRequest request) {
        return new PendingRequest(
                id,
                "",
                nowNanos,
                nowNanos + request.leftMillis() * NANOS_PER_MILLI,
                true,
                request.keyed(),
                request.service(),
                request.hash(),
                request.idempotent(),
                request.priority());
    }

    /** Returns the route, or "" of a forwarded request. */
    String route() {
        return mRoute;
    }

    long arrivalNanos() {
        return mArrivalNanos;
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

    /** Reports whether an earlier attempt may have run. */
    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Reports whether the body can be sent again. */
    boolean canResend() {
        return mCanResend;
    }

    /** Returns the name of the backend server of the last attempt, or "". */
    String serverName() {
        return mServer == null ? "" : mServer.name();
    }

    /** Returns the time at which the last attempt began. */
    long sentNanos() {
        return mSentNanos;
    }

    /** Begins an attempt that reaches no server, since the key has no owner. */
    void beginAttemptWithoutServer() {
        mAttempts++;
        mServer = null;
    }

    void beginAttempt(long nowNanos, BackendServer server, long epoch) {
        mAttempts++;
        mServer = server;
        mEpoch = epoch;
        mSentNanos = nowNanos;
        mUnderWay = true;
    }

    /** Notes the gateway daemon of the attempt; empty when it is this daemon. */
    void noteGateway(Optional<Address> gateway) {
        mGateway = gateway;
    }

    Optional<Address> gateway() {
        return mGateway;
    }

    boolean isUnderWay() {
        return mUnderWay;
    }

    /** Ends the attempt; returns false when none is under way. */
    boolean endAttempt() {
        boolean ended = mUnderWay;
        mUnderWay = false;
        return ended;
    }

    void noteMayHaveRun() {
        mMayHaveRun = true;
    }

    void noteCannotResend() {
        mCanResend = false;
    }

    /** Returns the present attempt as an order for the event loop. */
    Dispatch toDispatch(Dispatch.Via via) {
        return new Dispatch(
                mServer.name(),
                via,
                mService,
                mKeyed,
                mHash,
                mEpoch,
                mIdempotent,
                mPriority,
                mDeadlineNanos);
    }

    /** Returns the epoch of the slice in the last attempt. */
    long epoch() {
        return mEpoch;
    }

    BackendServer server() {
        return mServer;
    }
}
