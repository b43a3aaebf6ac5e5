package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import org.agrona.collections.Long2ObjectHashMap;
import org.geraniumusher.caller.RequestDecisions;
import org.geraniumusher.http.HeaderNames;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route;
import org.geraniumusher.operator.RequestObserver;
import org.geraniumusher.routing.Dispatch;
import org.geraniumusher.routing.ForwardedRequest;
import org.geraniumusher.routing.GatewayReport;
import org.geraniumusher.routing.RequestDecider;
import org.geraniumusher.routing.RequestHead;
import org.geraniumusher.routing.RequestOutputs;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Runs the {@link RequestDecider} on the thread of the duty decision. The methods of {@link
 * RequestDecisions} are called by event loops and hand over through a bounded ring; everything else
 * is confined to the thread of the duty.
 */
final class RequestDuty implements RequestDecisions, RequestOutputs {
    private final Predicate<Runnable> mRing;
    private final LongSupplier mClock;
    private final RequestObserver mObserver;
    private final RequestDecider mDecider;
    private final Long2ObjectHashMap<Port> mPorts = new Long2ObjectHashMap<>();

    /**
     * Creates the duty.
     *
     * @param ring offers a task to the thread of the duty; false when the ring is full
     * @param clock the runtime's monotonic clock, in nanoseconds
     * @param observer takes the ends of requests
     */
    RequestDuty(Predicate<Runnable> ring, LongSupplier clock, long seed, RequestObserver observer) {
        mObserver = checkNotNull(observer);
        mRing = checkNotNull(ring);
        mClock = checkNotNull(clock);
        mDecider = RequestDecider.create(this, seed);
    }

    /** Changes the decider on the thread of the duty; waits when the ring is full. */
    void update(Consumer<RequestDecider> change) {
        hand(() -> change.accept(mDecider));
    }

    /** Begins attempts that are due; called on the thread of the duty. */
    void onTick(long nowNanos) {
        mDecider.onTick(nowNanos);
    }

    @Override
    public boolean arrived(Arrival arrival) {
        return mRing.test(() -> onArrival(arrival));
    }

    @Override
    public void notRun(long id, ResultCode code, boolean canResend) {
        hand(() -> mDecider.onNotRun(mClock.getAsLong(), id, code, canResend));
    }

    @Override
    public void outcomeUnknown(long id, boolean canResend) {
        hand(() -> mDecider.onOutcomeUnknown(mClock.getAsLong(), id, canResend));
    }

    @Override
    public void answered(long id, Optional<GatewayReport> report) {
        hand(
                () -> {
                    mPorts.remove(id);
                    mDecider.onAnswered(mClock.getAsLong(), id, report);
                });
    }

    @Override
    public void abandoned(long id) {
        hand(
                () -> {
                    mPorts.remove(id);
                    mDecider.onAbandoned(mClock.getAsLong(), id);
                });
    }

    @Override
    public void dispatch(long id, Dispatch dispatch) {
        Port port = mPorts.get(id);
        if (port != null) {
            port.dispatch(dispatch);
        }
    }

    @Override
    public void abort(long id) {
        Port port = mPorts.get(id);
        if (port != null) {
            port.abort();
        }
    }

    @Override
    public void ended(String route, boolean succeeded, long latencyNanos) {
        mObserver.ended(route, succeeded, latencyNanos);
    }

    @Override
    public void refuse(long id, ResultCode code, long retryAfterMillis) {
        Port port = mPorts.remove(id);
        if (port != null) {
            port.refuse(code, retryAfterMillis);
        }
    }

    private void onArrival(Arrival arrival) {
        mPorts.put(arrival.id(), arrival.port());
        if (!arrival.forwarded()) {
            mDecider.onArrival(arrival.arrivalNanos(), arrival.id(), arrival.head());
            return;
        }
        Optional<ForwardedRequest> request = forwardedRequest(arrival.head());
        if (request.isPresent()) {
            mDecider.onForwarded(arrival.arrivalNanos(), arrival.id(), request.get());
        } else {
            refuse(arrival.id(), ResultCode.BAD_REQUEST, 0);
        }
    }

    /** An end of a request must reach the decider, so it waits when the ring is full. */
    private void hand(Runnable task) {
        while (!mRing.test(task)) {
            Thread.onSpinWait();
        }
    }

    private static Optional<ForwardedRequest> forwardedRequest(RequestHead head) {
        try {
            String hash = head.header(HeaderNames.HASH).orElse("");
            return Optional.of(
                    new ForwardedRequest(
                            head.header(HeaderNames.SERVER).orElseThrow(),
                            head.header(HeaderNames.SERVICE).orElseThrow(),
                            !hash.isEmpty(),
                            hash.isEmpty() ? 0 : Long.parseUnsignedLong(hash, 16),
                            Long.parseLong(head.header(HeaderNames.EPOCH).orElse("0")),
                            Long.parseLong(head.header(HeaderNames.DEADLINE_MILLIS).orElseThrow()),
                            Boolean.parseBoolean(head.header(HeaderNames.IDEMPOTENT).orElse("")),
                            Route.Priority.valueOf(
                                    head.header(HeaderNames.PRIORITY).orElse("READ"))));
        } catch (IllegalArgumentException | java.util.NoSuchElementException e) {
            return Optional.empty();
        }
    }
}
