package org.geraniumusher.caller;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoop;

import org.geraniumusher.backend.UpstreamPool;
import org.geraniumusher.model.ResultCode;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.LongSupplier;

/** Holds what the connections of one listening port share. Thread-safe. */
public final class CallerContext {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final RequestDecisions mDecisions;
    private final LongSupplier mClock;
    private final boolean mForwarded;
    private final Limits mLimits;
    private final AtomicLong mNextId;
    private final Map<EventLoop, UpstreamPool> mPools = new ConcurrentHashMap<>();
    private final AtomicInteger mConnections = new AtomicInteger();
    private final AtomicInteger mExchanges = new AtomicInteger();
    private final AtomicLongArray mRefusals = new AtomicLongArray(ResultCode.values().length);
    private volatile boolean mDraining;

    private CallerContext(
            RequestDecisions decisions,
            LongSupplier clock,
            boolean forwarded,
            Limits limits,
            AtomicLong nextId) {
        mDecisions = checkNotNull(decisions);
        mClock = checkNotNull(clock);
        mForwarded = forwarded;
        mLimits = checkNotNull(limits);
        mNextId = nextId;
    }

    /**
     * Returns the context of a port.
     *
     * @param clock the runtime's monotonic clock, in nanoseconds
     * @param forwarded whether other daemons forward requests to this port
     * @param nextId source of request identifiers, shared by all ports of the daemon
     */
    public static CallerContext create(
            RequestDecisions decisions,
            LongSupplier clock,
            boolean forwarded,
            Limits limits,
            AtomicLong nextId) {
        return new CallerContext(decisions, clock, forwarded, limits, nextId);
    }

    /** Returns the number of requests refused with {@code code} since the start. */
    public long refusals(ResultCode code) {
        return mRefusals.get(code.ordinal());
    }

    /** Returns the number of requests under way. */
    public int exchanges() {
        return mExchanges.get();
    }

    /** Makes every later response close its connection. */
    public void startDraining() {
        mDraining = true;
    }

    RequestDecisions decisions() {
        return mDecisions;
    }

    LongSupplier clock() {
        return mClock;
    }

    boolean forwarded() {
        return mForwarded;
    }

    Limits limits() {
        return mLimits;
    }

    boolean isDraining() {
        return mDraining;
    }

    long nextId() {
        return mNextId.incrementAndGet();
    }

    long retryAfterMillis() {
        return RETRY_AFTER_MILLIS;
    }

    UpstreamPool pool(EventLoop loop) {
        return mPools.computeIfAbsent(
                loop, l -> new UpstreamPool(l, mLimits.connectTimeoutMillis()));
    }

    boolean addConnection() {
        return mConnections.incrementAndGet() <= mLimits.maxConnections();
    }

    void removeConnection() {
        mConnections.decrementAndGet();
    }

    void onExchangeStarted() {
        mExchanges.incrementAndGet();
    }

    void onExchangeEnded() {
        mExchanges.decrementAndGet();
    }

    void onRefused(ResultCode code) {
        mRefusals.incrementAndGet(code.ordinal());
    }

    /** Bounds what one port accepts. */
    public record Limits(
            int maxInitialLineBytes,
            int maxHeaderBytes,
            int maxConnections,
            int idleTimeoutMillis,
            int connectTimeoutMillis) {
        /** Returns the limits used when the settings name none. */
        public static Limits ofDefaults() {
            return new Limits(8 << 10, 16 << 10, 10_000, 60_000, 1_000);
        }
    }
}
