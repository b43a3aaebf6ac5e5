package org.geraniumusher.experiments;

import org.geraniumusher.admission.Admission;
import org.geraniumusher.admission.GateLoad;
import org.geraniumusher.admission.GateRequest;
import org.geraniumusher.admission.ServerGate;
import org.geraniumusher.admission.SlowStart;
import org.geraniumusher.experiments.Call.Copy;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.retry.Failure;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Connects the gate of one server with the fake server and with the daemons that forward to it. Not
 * thread-safe.
 */
final class SimGateway {
    private static final int QUEUE = 8 * FakeServer.SLOTS;
    private static final long LOCAL_NANOS = 100_000;
    private static final long TICK_NANOS = 5_000_000;

    private final EventQueue mEvents;
    private final FakeServer mServer;
    private final ServerGate mGate;
    private final Map<Long, Copy> mCopies = new HashMap<>();
    private final int mDataCentre;

    SimGateway(EventQueue events, FakeServer server, Policy policy, int dataCentre) {
        mEvents = events;
        mServer = server;
        mDataCentre = dataCentre;
        SlowStart slowStart =
                SlowStart.create(
                        policy.warmUp(),
                        FakeServer.SLOTS,
                        FakeServer.COLD_SLOTS,
                        Duration.ofNanos(FakeServer.WARM_UP_NANOS),
                        events.nowNanos());
        mGate = ServerGate.create(slowStart, QUEUE);
        mGate.takeOverWarm(events.nowNanos());
        events.every(TICK_NANOS, () -> apply(mGate.tick(events.nowNanos())));
    }

    int dataCentre() {
        return mDataCentre;
    }

    void submit(Copy copy) {
        if (!copy.isOpen()) {
            return;
        }
        mCopies.put(copy.id(), copy);
        Call call = copy.call();
        GateRequest request = new GateRequest(copy.id(), call.priority(), call.deadlineNanos());
        apply(mGate.submit(request, mEvents.nowNanos()));
    }

    void cancel(Copy copy) {
        mCopies.remove(copy.id());
        apply(mGate.cancel(copy.id(), mEvents.nowNanos()));
    }

    void newIncarnation() {
        apply(mGate.newIncarnation(mEvents.nowNanos()));
    }

    void limitConcurrency(int limit) {
        apply(mGate.limitConcurrency(limit, mEvents.nowNanos()));
    }

    private void apply(Iterable<Admission> verdicts) {
        for (Admission verdict : verdicts) {
            long id = verdict.id();
            if (verdict instanceof Admission.Dispatch) {
                dispatch(id);
            } else if (verdict instanceof Admission.Abort) {
                mEvents.after(LOCAL_NANOS, () -> mServer.cancel(id));
            } else if (verdict instanceof Admission.Refused refused) {
                refuse(id, failureOf(refused));
            }
        }
    }

    private static Failure failureOf(Admission.Refused refused) {
        return switch (refused.code()) {
            case OVERLOADED -> Failure.GATE_FULL;
            case DEADLINE_UNREACHABLE -> Failure.GATE_TOO_LATE;
            default -> throw new IllegalStateException("unexpected code: " + refused.code());
        };
    }

    private void dispatch(long id) {
        long sent = mEvents.nowNanos();
        mEvents.after(LOCAL_NANOS, () -> mServer.start(id, new EndOfRun(id, sent)));
    }

    private void refuse(long id, Failure failure) {
        GateLoad load = mGate.load();
        answer(id, copy -> copy.origin().refused(copy, failure, load));
    }

    private void answer(long id, Consumer<Copy> message) {
        Copy copy = mCopies.remove(id);
        if (copy != null) {
            mEvents.after(copy.origin().hopNanos(mDataCentre), () -> message.accept(copy));
        }
    }

    /** Takes the end of a request at the server, one local delay later. */
    private final class EndOfRun implements FakeServer.Listener {
        private final long mId;
        private final long mSentNanos;

        EndOfRun(long id, long sentNanos) {
            mId = id;
            mSentNanos = sentNanos;
        }

        @Override
        public void refused() {
            mEvents.after(LOCAL_NANOS, this::onRefused);
        }

        @Override
        public void ended() {
            mEvents.after(LOCAL_NANOS, this::onEnded);
        }

        @Override
        public void lost() {
            mEvents.after(LOCAL_NANOS, this::onLost);
        }

        private void onRefused() {
            apply(mGate.refusedByServer(mId, mEvents.nowNanos()));
            refuse(mId, Failure.REFUSED_BY_SERVER);
        }

        private void onEnded() {
            finish(Outcome.RAN);
            long service = mEvents.nowNanos() - mSentNanos;
            GateLoad load = mGate.load();
            answer(mId, copy -> copy.origin().answered(copy, service, load));
        }

        private void onLost() {
            finish(Outcome.UNKNOWN);
            answer(mId, copy -> copy.origin().lost(copy));
        }

        private void finish(Outcome outcome) {
            long now = mEvents.nowNanos();
            apply(mGate.finished(mId, outcome, now - mSentNanos, now));
        }
    }
}
