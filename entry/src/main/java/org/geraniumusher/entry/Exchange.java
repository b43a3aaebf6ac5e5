package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.traffic.RouteRule;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;

/**
 * State of one request of a caller, from its arrival to its response. Confined to the event loop.
 *
 * <p>Times are in nanoseconds of the monotonic clock of the daemon.
 *
 * <p>Invariant: the request ends at most once, and at most one attempt is in progress.
 */
final class Exchange {
    /** Orders requests by their urgency. */
    static final Comparator<Exchange> BY_PRIORITY_THEN_GOAL =
            Comparator.comparingInt((Exchange e) -> e.route().priority())
                    .thenComparingLong(Exchange::goalAtNanos);

    private static final int NO_KEY = -1;

    private final Request mRequest;
    private final String mId;
    private final long mArrivedAtNanos;
    private final RequestSource mSource;
    private final CallerResponder mResponder;
    private final Set<String> mTriedIncarnations = new HashSet<>();
    private RequestIdentity mIdentity;
    private RouteRule mRoute;

    /** Version of the configuration with the route, or -1 without one. */
    private long mRoutedByVersion = -1;

    private String mService = "";
    private int mKey = NO_KEY;
    private long mCallerFirstSentAtNanos;
    private long mDeadlineAtNanos;
    private int mSendCount;
    private String mLastServer = "";
    private boolean mMayHaveRun;
    private long mTrialUntilNanos = Long.MIN_VALUE;
    private boolean mEnded;
    private long mEarliestSendNanos = Long.MIN_VALUE;
    private ResultCode mWaitReason = ResultCode.OVERLOADED;
    private Optional<Upstream> mAwaitedServer = Optional.empty();
    private boolean mServersUnreached;
    private boolean mTriesServers;
    private final Set<PeerLink> mTriedPeers = new HashSet<>();
    private Optional<Forward> mForward = Optional.empty();
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<ScheduledFuture<?>> mDeadlineTimer = Optional.empty();
    private Optional<ScheduledFuture<?>> mAttemptTimer = Optional.empty();

    /** Sends the response to the caller. */
    interface CallerResponder {
        /** Forwards a response of a backend server. */
        void respond(UpstreamResponse response);

        /**
         * Responds with an error.
         *
         * @param retryAfterSeconds delay after which the caller may send the request again, if the
         *     status of the response allows it
         */
        void fail(ResultCode code, double retryAfterSeconds);
    }

    /**
     * A request as received from the caller. The body must not be modified.
     *
     * @param content the body as a buffer, which may be forwarded until the request has ended
     * @param body its bytes, which can be read also after that
     */
    record Request(
            HttpMethod method, String uri, HttpHeaders headers, ByteBuf content, byte[] body) {
        /** Creates a request whose content is on the heap. */
        Request(HttpMethod method, String uri, HttpHeaders headers, ByteBuf content) {
            this(method, uri, headers, content, bytesOf(content));
        }

        Request(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
            this(method, uri, headers, Unpooled.wrappedBuffer(body), body);
        }

        private static byte[] bytesOf(ByteBuf content) {
            // Copies only if the array holds other bytes as well.
            return ByteBufUtil.getBytes(
                    content, content.readerIndex(), content.readableBytes(), false);
        }
    }

    /** One attempt to get a response from a backend server. */
    record Attempt(Upstream upstream, UpstreamConnection connection, long sentAtNanos) {}

    /** One attempt to have a peer send the request to a server. */
    record Forward(PeerLink peer, UpstreamConnection connection) {}

    /**
     * Creates a request that has arrived.
     *
     * @param id ID that the caller sent, or one that this daemon gave it; not empty
     */
    Exchange(
            Request request,
            String id,
            long arrivedAtNanos,
            RequestSource source,
            CallerResponder responder) {
        checkArgument(!id.isBlank(), "request has no ID");
        mRequest = request;
        mId = id;
        mArrivedAtNanos = arrivedAtNanos;
        mSource = source;
        mResponder = responder;
    }

    Request request() {
        return mRequest;
    }

    String id() {
        return mId;
    }

    /**
     * Returns what identifies the request when its caller repeats it.
     *
     * @param keyHeader name of the header that carries the key
     */
    RequestIdentity identity(String keyHeader) {
        if (mIdentity == null) {
            mIdentity = new RequestIdentity(mRequest, keyHeader);
        }
        return mIdentity;
    }

    /** Returns the fingerprint of the request if it was needed, otherwise an empty string. */
    String knownFingerprint() {
        return mIdentity == null ? "" : mIdentity.knownFingerprint();
    }

    long arrivedAtNanos() {
        return mArrivedAtNanos;
    }

    /** Returns whether a peer passed the request on, which must not be passed on again. */
    boolean isFromPeer() {
        return mSource == RequestSource.PEER;
    }

    CallerResponder responder() {
        return mResponder;
    }

    /**
     * Sets the route of the request and the service that was chosen from it.
     *
     * @param version version of the configuration with that route
     */
    void setRoute(RouteRule route, String service, long version) {
        mRoute = route;
        mService = service;
        mRoutedByVersion = version;
    }

    /** Returns the version of the configuration by which it has its route, or -1 without one. */
    long routedByVersion() {
        return mRoutedByVersion;
    }

    /** Reports whether a route has been set. */
    boolean isRouted() {
        return mRoute != null;
    }

    /** Returns the route, or null if none has been set. */
    RouteRule route() {
        return mRoute;
    }

    /** Returns the name of the service, or an empty string if no route has been set. */
    String service() {
        return mService;
    }

    void setKey(int key) {
        mKey = key;
    }

    /** Returns the key, or -1 if the request has none. */
    int key() {
        return mKey;
    }

    boolean hasKey() {
        return mKey != NO_KEY;
    }

    /**
     * Sets the start of the latency goal and the deadline of the request.
     *
     * @param callerFirstSentAtNanos estimated time at which the caller first sent the request,
     *     before any retries of its own
     */
    void setTimes(long callerFirstSentAtNanos, long deadlineAtNanos) {
        mCallerFirstSentAtNanos = callerFirstSentAtNanos;
        mDeadlineAtNanos = deadlineAtNanos;
    }

    long callerFirstSentAtNanos() {
        return mCallerFirstSentAtNanos;
    }

    long latencyGoalNanos() {
        return mRoute.latencyGoalNanos();
    }

    /** Returns the time until which a response meets the latency goal of the route. */
    long goalAtNanos() {
        return mCallerFirstSentAtNanos + mRoute.latencyGoalNanos();
    }

    /** Returns the time until which the caller waits for a response. */
    long deadlineAtNanos() {
        return mDeadlineAtNanos;
    }

    /**
     * Returns the IDs of the server incarnations that the request was sent to. The set is a live
     * view.
     */
    Set<String> triedIncarnations() {
        return mTriedIncarnations;
    }

    /** Returns how many times the request was sent to servers, successfully or not. */
    int sendCount() {
        return mSendCount;
    }

    /** Sets the attempt in progress, which {@link #recordSend} has counted. */
    void beginAttempt(Attempt attempt) {
        mAttempt = Optional.of(attempt);
    }

    /** Counts a send to a server. */
    void recordSend(String incarnationId) {
        mSendCount++;
        mTriedIncarnations.add(incarnationId);
        mLastServer = incarnationId;
    }

    /** Returns the incarnation to which the request was sent last, or an empty string. */
    String lastServer() {
        return mLastServer;
    }

    /** Ends the attempt in progress, if any, and cancels its timer. */
    void endAttempt() {
        mAttempt = Optional.empty();
        mAttemptTimer.ifPresent(t -> t.cancel(false));
        mAttemptTimer = Optional.empty();
    }

    /** Sets the timer that ends the attempt in progress. */
    void setAttemptTimer(ScheduledFuture<?> timer) {
        mAttemptTimer = Optional.of(timer);
    }

    /** Returns the attempt in progress, if any. */
    Optional<Attempt> attempt() {
        return mAttempt;
    }

    /** Records that a server may have executed the request. */
    void setMayHaveRun() {
        mMayHaveRun = true;
    }

    boolean mayHaveRun() {
        return mMayHaveRun;
    }

    /** Returns whether a server may execute the request, now or before. */
    boolean isSent() {
        return mAttempt.isPresent() || mForward.isPresent() || mMayHaveRun;
    }

    /** Sets the time until which the request may be sent although it is on probation. */
    void setTrialUntilNanos(long nanos) {
        mTrialUntilNanos = nanos;
    }

    /** Reports whether the request has a permit for a trial that no server may have executed. */
    boolean holdsTrial(long nowNanos) {
        return !mMayHaveRun && nowNanos < mTrialUntilNanos;
    }

    /** Sets the earliest time at which the request may be sent to a server. */
    void setEarliestSendNanos(long nanos) {
        mEarliestSendNanos = nanos;
    }

    long earliestSendNanos() {
        return mEarliestSendNanos;
    }

    /** Sets why the request waits, which becomes its result if it stops waiting. */
    void setWaitReason(ResultCode reason) {
        mWaitReason = reason;
        mAwaitedServer = Optional.empty();
        mServersUnreached = false;
    }

    /** Records that this daemon does not reach the servers that could run the request. */
    void setServersUnreached() {
        mServersUnreached = true;
    }

    /** Returns whether the request waits because its servers are not reached from here. */
    boolean isServersUnreached() {
        return mServersUnreached;
    }

    /** Lets the request show whether servers answer this daemon again. */
    void setTriesServers() {
        mTriesServers = true;
    }

    /** Ends the trial of the servers, if the request made one; returns whether it did. */
    boolean endTrial() {
        boolean tried = mTriesServers;
        mTriesServers = false;
        return tried;
    }

    /** Returns whether the request is sent to servers although none is known to answer. */
    boolean triesServers() {
        return mTriesServers;
    }

    /** Sets the peer that the request is passed on to. */
    void beginForward(Forward forward) {
        mTriedPeers.add(forward.peer());
        mForward = Optional.of(forward);
    }

    /** Records that no peer has the request any more. */
    void endForward() {
        mForward = Optional.empty();
    }

    /** Returns the peer that has the request, if one does. */
    Optional<Forward> forward() {
        return mForward;
    }

    /** Returns the peers that the request was passed on to. The set is a live view. */
    Set<PeerLink> triedPeers() {
        return mTriedPeers;
    }

    /** Records that the request waits for a permit of a server that has a limit. */
    void awaitPermit(Upstream server) {
        mWaitReason = ResultCode.SERVER_LIMITED;
        mAwaitedServer = Optional.of(server);
    }

    /** Returns the server whose permit the request waits for, if it does. */
    Optional<Upstream> awaitedServer() {
        return mAwaitedServer;
    }

    ResultCode waitReason() {
        return mWaitReason;
    }

    void setDeadlineTimer(ScheduledFuture<?> timer) {
        mDeadlineTimer = Optional.of(timer);
    }

    /**
     * Marks the request as ended and cancels its deadline timer.
     *
     * @throws IllegalStateException if it has already ended
     */
    void end() {
        checkState(!mEnded, "request ended twice: %s", mId);
        mEnded = true;
        mDeadlineTimer.ifPresent(t -> t.cancel(false));
    }

    boolean isEnded() {
        return mEnded;
    }
}
