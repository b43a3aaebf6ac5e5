package org.geraniumusher.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.agrona.collections.LongHashSet;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route.Priority;

import java.time.Duration;

/**
 * Holds the gateway daemon's view of one backend server: running requests, the queue, slow start.
 *
 * <p>Invariants: a request is dispatched only while fewer than {@link #usableSlots} run; each
 * submitted request gets exactly one Dispatch or one Refused unless it is cancelled first; an order
 * never waits for a read. Each event returns the verdicts that it causes, on this and on other
 * requests. Call {@link #tick} every few milliseconds while requests wait. Not thread-safe.
 */
public final class ServerGate {
    private static final int QUEUE_PER_SLOT = 8;
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double SERVICE_WEIGHT = 1.0 / 32;

    /**
     * The queue of a server that keeps up empties within this time, so a longer one is overload.
     */
    private static final long OVERLOAD_NANOS = 100_000_000;

    private final SlowStart mSlowStart;
    private final int mQueueCapacity;
    private final RequestQueue mQueue = new RequestQueue();
    private final LongHashSet mRunning = new LongHashSet();
    private int mConcurrencyLimit = Integer.MAX_VALUE;
    private double mServiceNanos;
    private boolean mWaiting;
    private long mWaitingSinceNanos;

    private ServerGate(SlowStart slowStart, int queueCapacity) {
        mSlowStart = slowStart;
        mQueueCapacity = queueCapacity;
    }

    /** Returns the gate of a server that is used for the first time, with the default queue. */
    public static ServerGate create(BackendServer server, WarmUp warmUp, long nowNanos) {
        SlowStart slowStart =
                SlowStart.create(
                        warmUp,
                        server.slots(),
                        server.coldSlots(),
                        Duration.ofSeconds(server.warmUpSeconds()),
                        nowNanos);
        return create(slowStart, QUEUE_PER_SLOT * server.slots());
    }

    /** Returns a gate with at most {@code queueCapacity} waiting requests. */
    public static ServerGate create(SlowStart slowStart, int queueCapacity) {
        checkNotNull(slowStart, "slowStart");
        checkArgument(queueCapacity >= 0, "bad queueCapacity: %s", queueCapacity);
        return new ServerGate(slowStart, queueCapacity);
    }

    /** Decides on a new request; verdicts on waiting requests may come before the one on it. */
    public ImmutableList<Admission> submit(GateRequest request, long nowNanos) {
        checkNotNull(request, "request");
        checkArgument(!mRunning.contains(request.id()), "request %s runs already", request.id());
        ImmutableList.Builder<Admission> verdicts = ImmutableList.builder();
        pump(verdicts, nowNanos);
        if (mQueue.size() == 0 && mRunning.size() < usableSlots()) {
            admit(request, verdicts, nowNanos);
        } else {
            enqueue(request, verdicts, nowNanos);
        }
        return verdicts.build();
    }

    /**
     * Takes the end of a running request; latency is the time since its dispatch. That of a request
     * that was cancelled or lost is only a lower bound, and counts only when it is long.
     */
    public ImmutableList<Admission> finished(
            long id, Outcome outcome, long latencyNanos, long nowNanos) {
        checkNotNull(outcome, "outcome");
        checkArgument(latencyNanos >= 0, "bad latencyNanos: %s", latencyNanos);
        mSlowStart.advance(mRunning.size(), nowNanos);
        boolean known = mRunning.remove(id);
        boolean bound = outcome == Outcome.UNKNOWN && latencyNanos > mServiceNanos;
        if (known && (outcome == Outcome.RAN || bound)) {
            recordLatency(latencyNanos, nowNanos);
        }
        return tick(nowNanos);
    }

    /** Takes a refusal of a running request by the server for lack of capacity. */
    public ImmutableList<Admission> refusedByServer(long id, long nowNanos) {
        mRunning.remove(id);
        cool(SlowStart.Cause.SERVER_REFUSAL, nowNanos);
        return tick(nowNanos);
    }

    /** Takes the reset of a connection; the requests on it are reported as finished separately. */
    public ImmutableList<Admission> connectionReset(long nowNanos) {
        mSlowStart.advance(mRunning.size(), nowNanos);
        mSlowStart.recordReset(nowNanos);
        return tick(nowNanos);
    }

    /** Takes a restart of the server; requests that ran there are reported separately. */
    public ImmutableList<Admission> newIncarnation(long nowNanos) {
        cool(SlowStart.Cause.NEW_INCARNATION, nowNanos);
        return tick(nowNanos);
    }

    /** Takes the return of the server after it was out of service. */
    public ImmutableList<Admission> returnedToService(long nowNanos) {
        cool(SlowStart.Cause.RETURN_TO_SERVICE, nowNanos);
        return tick(nowNanos);
    }

    /** Starts as the new gateway of a server that was warm under the former one. */
    public void takeOverWarm(long nowNanos) {
        mSlowStart.advance(mRunning.size(), nowNanos);
        mSlowStart.takeOverWarm(nowNanos);
    }

    /** Cancels a request: a waiting one is dropped, a running one is aborted at the server. */
    public ImmutableList<Admission> cancel(long id, long nowNanos) {
        if (mRunning.contains(id)) {
            return ImmutableList.of(new Admission.Abort(id));
        }
        mQueue.remove(id);
        return tick(nowNanos);
    }

    /** Narrows the running requests to {@code limit}, for a straggler of a keyed service. */
    public ImmutableList<Admission> limitConcurrency(int limit, long nowNanos) {
        checkArgument(limit >= 1, "bad limit: %s", limit);
        mConcurrencyLimit = limit;
        return tick(nowNanos);
    }

    /** Refuses what has waited too long and dispatches what fits. */
    public ImmutableList<Admission> tick(long nowNanos) {
        ImmutableList.Builder<Admission> verdicts = ImmutableList.builder();
        pump(verdicts, nowNanos);
        return verdicts.build();
    }

    /** Returns how many requests may run at once now. */
    public int usableSlots() {
        return Math.min(mSlowStart.usableSlots(), mConcurrencyLimit);
    }

    /** Returns the load as told to other daemons. */
    public GateLoad load() {
        return new GateLoad(mRunning.size(), mQueue.size(), usableSlots(), (long) mServiceNanos);
    }

    private void pump(ImmutableList.Builder<Admission> verdicts, long now) {
        mSlowStart.advance(mRunning.size(), now);
        mQueue.removeLate(now, neededNanos(), late -> verdicts.add(unreachable(late)));
        while (mQueue.size() > 0 && mRunning.size() < usableSlots()) {
            dispatch(mQueue.poll(isOverloaded(now)).id(), verdicts, now);
        }
        noteWaiting(now);
    }

    private void admit(GateRequest request, ImmutableList.Builder<Admission> verdicts, long now) {
        if (request.deadlineNanos() - now <= neededNanos()) {
            verdicts.add(unreachable(request));
        } else {
            dispatch(request.id(), verdicts, now);
        }
    }

    private void enqueue(GateRequest request, ImmutableList.Builder<Admission> verdicts, long now) {
        boolean newestFirst = isOverloaded(now);
        long wait = waitNanos(mQueue.ahead(request.priority(), newestFirst));
        if (request.deadlineNanos() - now <= wait + neededNanos()) {
            verdicts.add(unreachable(request));
            return;
        }
        if (mQueue.size() >= mQueueCapacity) {
            boolean displaces = request.priority() == Priority.ORDER || newestFirst;
            GateRequest displaced = displaces ? mQueue.pollOldestRead() : null;
            if (displaced == null) {
                verdicts.add(refused(request, ResultCode.OVERLOADED));
                return;
            }
            verdicts.add(refused(displaced, ResultCode.OVERLOADED));
        }
        mQueue.add(request);
        noteWaiting(now);
        verdicts.add(new Admission.Queued(request.id()));
    }

    private void dispatch(long id, ImmutableList.Builder<Admission> verdicts, long now) {
        mRunning.add(id);
        mSlowStart.advance(mRunning.size(), now);
        verdicts.add(new Admission.Dispatch(id));
    }

    private void cool(SlowStart.Cause cause, long now) {
        mSlowStart.advance(mRunning.size(), now);
        mSlowStart.cool(cause);
    }

    private void recordLatency(long latency, long now) {
        mServiceNanos =
                mServiceNanos == 0
                        ? latency
                        : mServiceNanos + (latency - mServiceNanos) * SERVICE_WEIGHT;
        mSlowStart.recordLatency(latency, now);
    }

    private void noteWaiting(long now) {
        boolean waiting = mQueue.size() > 0;
        if (waiting && !mWaiting) {
            mWaitingSinceNanos = now;
        }
        mWaiting = waiting;
    }

    private boolean isOverloaded(long now) {
        return mWaiting && now - mWaitingSinceNanos >= OVERLOAD_NANOS;
    }

    /**
     * Returns the time that a request must have left. An idle server gets any request that has not
     * expired, since an estimate above all deadlines would otherwise never be corrected.
     */
    private long neededNanos() {
        return mRunning.isEmpty() ? 0 : (long) mServiceNanos;
    }

    /** Estimates the time until a slot is free for a request with {@code ahead} before it. */
    private long waitNanos(int ahead) {
        return (long) ((ahead + 1) * mServiceNanos / usableSlots());
    }

    private Admission.Refused unreachable(GateRequest request) {
        return refused(request, ResultCode.DEADLINE_UNREACHABLE);
    }

    private Admission.Refused refused(GateRequest request, ResultCode code) {
        long millis = waitNanos(mQueue.size()) / NANOS_PER_MILLI + 1;
        return new Admission.Refused(request.id(), code, Math.min(millis, MAX_RETRY_AFTER_MILLIS));
    }
}
