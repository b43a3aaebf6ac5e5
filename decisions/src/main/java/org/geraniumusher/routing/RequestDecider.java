package org.geraniumusher.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.agrona.collections.Long2ObjectHashMap;
import org.geraniumusher.admission.Admission;
import org.geraniumusher.admission.GateLoad;
import org.geraniumusher.admission.WarmUp;
import org.geraniumusher.choice.ChoiceStrategy;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.geraniumusher.retry.Attempt;
import org.geraniumusher.retry.Failure;
import org.geraniumusher.retry.RetryVerdict;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Decides where each request goes, when it gets a slot, and whether an attempt is repeated.
 *
 * <p>The daemon has two roles here: it is the entry of the requests of its callers, and the gateway
 * of some backend servers for requests of its own and of other entries. Invariants: a request has
 * at most one attempt under way; a request that is not idempotent is sent again only after attempts
 * that certainly did not run; a forwarded request goes only to the server that it names and is not
 * repeated here. Not thread-safe: one thread owns it.
 */
public final class RequestDecider {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Time for which a gateway daemon that could not be reached is passed over. Membership takes
     * one to two seconds to suspect it, and a key must be served again within 2 s.
     */
    private static final long AVOID_NANOS = 2_000 * NANOS_PER_MILLI;

    private final RequestOutputs mOutputs;
    private final SplittableRandom mRandom;
    private final Long2ObjectHashMap<PendingRequest> mPending = new Long2ObjectHashMap<>();
    private final PriorityQueue<Retry> mRetries =
            new PriorityQueue<>(Comparator.comparingLong(Retry::atNanos));
    private final TableLeases mTables = new TableLeases();
    private final Map<String, ServiceView> mServices = new HashMap<>();
    private final Map<Address, Long> mAvoidedUntil = new HashMap<>();
    private final GateSet mGates = new GateSet(WarmUp.BY_WORK);
    private Configuration mConfiguration = Configuration.of();
    private RouteTable mRoutes = RouteTable.of(mConfiguration);
    private GatewayTable mGateways = (server, avoided) -> Optional.empty();

    private RequestDecider(RequestOutputs outputs, long seed) {
        mOutputs = checkNotNull(outputs);
        mRandom = new SplittableRandom(seed);
    }

    /**
     * Returns a decider without configuration, which refuses every request. The seed must differ
     * between daemons, so that they do not choose the same servers.
     */
    public static RequestDecider create(RequestOutputs outputs, long seed) {
        return new RequestDecider(outputs, seed);
    }

    /** Replaces the configuration. */
    public void onConfiguration(long nowNanos, RoutingConfiguration view) {
        mConfiguration = view.configuration();
        mRoutes = view.routes();
        for (Service service : mConfiguration.services()) {
            serviceView(service.name()).setServers(view.servers().get(service.name()));
        }
        carryOut(nowNanos, mGates.onConfiguration(nowNanos, view));
    }

    /** Replaces the table of a keyed service by a newer version. */
    public void onShard(long version, ShardState state) {
        mTables.onShard(version, state);
    }

    /** Takes the confirmation that a version of a table was current, valid until a time. */
    public void onTableLease(String service, long version, long untilNanos) {
        mTables.onLease(service, version, untilNanos);
    }

    /**
     * Replaces the table of gateway daemons, and gives up attempts through a daemon that is not
     * held alive any more: a paused one would keep its callers waiting until their deadlines.
     */
    public void onGateways(GatewayTable gateways) {
        mGateways = checkNotNull(gateways);
        for (PendingRequest pending : ImmutableList.copyOf(mPending.values())) {
            boolean lost =
                    pending.isUnderWay()
                            && pending.gateway().filter(g -> !gateways.isAlive(g)).isPresent();
            if (lost) {
                mOutputs.abort(pending.id());
            }
        }
    }

    /** Notes that a backend server has been restarted. */
    public void onNewIncarnation(long nowNanos, String server) {
        carryOut(nowNanos, mGates.newIncarnation(nowNanos, server));
    }

    /** Takes a request of a caller. */
    public void onArrival(long nowNanos, long id, RequestHead head) {
        RouteMatch match = mRoutes.match(head);
        if (match instanceof RouteMatch.Refused refused) {
            mOutputs.refuse(id, refused.code(), 0);
        } else if (match instanceof RouteMatch.Found found) {
            boolean idempotent = found.route().isIdempotent(head.method());
            begin(nowNanos, PendingRequest.ofCaller(id, nowNanos, found, idempotent));
        }
    }

    /** Takes a request that another daemon forwarded to this one as the gateway of its server. */
    public void onForwarded(long nowNanos, long id, ForwardedRequest request) {
        Optional<BackendServer> server = mConfiguration.backendServer(request.server());
        if (server.isEmpty()) {
            mOutputs.refuse(id, ResultCode.NO_BACKEND_SERVER, 0);
            return;
        }
        PendingRequest pending = PendingRequest.ofForwarded(id, nowNanos, request);
        mPending.put(id, pending);
        pending.beginAttempt(nowNanos, server.get(), request.epoch());
        submit(nowNanos, pending);
    }

    /** Takes the end of an attempt that certainly did not run. */
    public void onNotRun(long nowNanos, long id, ResultCode code, boolean canResend) {
        PendingRequest pending = mPending.get(id);
        if (pending == null) {
            return;
        }
        if (!canResend) {
            pending.noteCannotResend();
        }
        if (mGates.contains(id)) {
            carryOut(nowNanos, endAtGate(nowNanos, id, code));
        } else if (code == ResultCode.CONNECT_FAILED) {
            pending.gateway()
                    .ifPresent(gateway -> mAvoidedUntil.put(gateway, nowNanos + AVOID_NANOS));
        }
        failed(nowNanos, pending, toFailure(code, pending), 0);
    }

    /** Takes the end of an attempt that may have run. */
    public void onOutcomeUnknown(long nowNanos, long id, boolean canResend) {
        PendingRequest pending = mPending.get(id);
        if (pending == null) {
            return;
        }
        if (!canResend) {
            pending.noteCannotResend();
        }
        carryOut(nowNanos, mGates.connectionLost(nowNanos, id, Outcome.UNKNOWN));
        failed(nowNanos, pending, Failure.CONNECTION_LOST, 0);
    }

    /**
     * Takes the end of a request that was answered.
     *
     * @param report what the gateway daemon told with the answer, if it was another daemon
     */
    public void onAnswered(long nowNanos, long id, Optional<GatewayReport> report) {
        PendingRequest pending = mPending.remove(id);
        if (pending == null) {
            return;
        }
        Optional<GatewayReport> known =
                mGates.contains(id) ? Optional.of(mGates.reportOf(nowNanos, id)) : report;
        carryOut(nowNanos, mGates.finished(nowNanos, id, Outcome.RAN));
        if (!pending.isForwarded()) {
            mOutputs.ended(pending.route(), true, nowNanos - pending.arrivalNanos());
            long latency = Math.max(0, nowNanos - pending.sentNanos());
            serviceView(pending.service())
                    .answered(nowNanos, id, pending.serverName(), latency, known);
        }
    }

    /** Takes the end of a request whose caller has left or whose deadline has passed. */
    public void onAbandoned(long nowNanos, long id) {
        PendingRequest pending = mPending.remove(id);
        if (pending == null) {
            return;
        }
        carryOut(nowNanos, mGates.abandoned(nowNanos, id));
        if (!pending.isForwarded() && nowNanos - pending.deadlineNanos() >= 0) {
            mOutputs.ended(pending.route(), false, nowNanos - pending.arrivalNanos());
        }
        if (!pending.isForwarded() && pending.endAttempt()) {
            serviceView(pending.service())
                    .cancelled(nowNanos, id, pending.serverName(), pending.sentNanos());
        }
    }

    /** Begins the attempts that are due and moves the queues on. Call it every few milliseconds. */
    public void onTick(long nowNanos) {
        while (!mRetries.isEmpty() && mRetries.peek().atNanos() <= nowNanos) {
            PendingRequest pending = mPending.get(mRetries.poll().id());
            if (pending != null) {
                attempt(nowNanos, pending);
            }
        }
        carryOut(nowNanos, mGates.tick(nowNanos));
        mServices.values().forEach(service -> service.tick(nowNanos));
    }

    private ServiceView serviceView(String name) {
        return mServices.computeIfAbsent(
                name, n -> new ServiceView(ChoiceStrategy.TWO_CHOICES_LATENCY, mRandom.split()));
    }

    private void begin(long nowNanos, PendingRequest pending) {
        mPending.put(pending.id(), pending);
        serviceView(pending.service()).retries().requestArrived();
        attempt(nowNanos, pending);
    }

    private void attempt(long nowNanos, PendingRequest pending) {
        if (pending.isKeyed()) {
            attemptAtOwner(nowNanos, pending);
            return;
        }
        Optional<BackendServer> server =
                serviceView(pending.service())
                        .choose(nowNanos, pending.serverName(), pending.isIdempotent());
        if (server.isEmpty()) {
            refuse(nowNanos, pending, ResultCode.NO_BACKEND_SERVER, 0);
        } else {
            attemptAt(nowNanos, pending, server.get(), 0);
        }
    }

    private void attemptAtOwner(long nowNanos, PendingRequest pending) {
        Optional<Slice> slice = mTables.sliceOf(pending.service(), pending.hash());
        Optional<BackendServer> owner = slice.flatMap(s -> mConfiguration.backendServer(s.owner()));
        if (owner.isPresent()) {
            attemptAt(nowNanos, pending, owner.get(), slice.get().epoch());
        } else {
            pending.beginAttemptWithoutServer();
            failed(nowNanos, pending, Failure.NOT_OWNER, 0);
        }
    }

    private void attemptAt(
            long nowNanos, PendingRequest pending, BackendServer server, long epoch) {
        pending.beginAttempt(nowNanos, server, epoch);
        serviceView(pending.service()).sent(nowNanos, pending.id(), server.name());
        Optional<Address> gateway =
                mGateways.gatewayOf(server, address -> isAvoided(nowNanos, address));
        pending.noteGateway(gateway);
        if (gateway.isPresent()) {
            Dispatch dispatch = pending.toDispatch(new Dispatch.Gateway(gateway.get()));
            mOutputs.dispatch(pending.id(), dispatch);
        } else {
            submit(nowNanos, pending);
        }
    }

    private boolean isAvoided(long nowNanos, Address gateway) {
        Long until = mAvoidedUntil.get(gateway);
        return until != null && nowNanos - until < 0;
    }

    private void submit(long nowNanos, PendingRequest pending) {
        carryOut(
                nowNanos,
                mGates.submit(
                        nowNanos,
                        pending.server(),
                        pending.id(),
                        pending.priority(),
                        pending.deadlineNanos()));
    }

    private ImmutableList<Admission> endAtGate(long nowNanos, long id, ResultCode code) {
        return switch (code) {
            case REFUSED_BY_SERVER -> mGates.refusedByServer(nowNanos, id);
            case CONNECT_FAILED -> mGates.connectionLost(nowNanos, id, Outcome.NOT_RUN);
            default -> mGates.finished(nowNanos, id, Outcome.NOT_RUN);
        };
    }

    private void carryOut(long nowNanos, ImmutableList<Admission> verdicts) {
        for (Admission verdict : verdicts) {
            PendingRequest pending = mPending.get(verdict.id());
            if (pending == null) {
                continue;
            }
            if (verdict instanceof Admission.Dispatch) {
                dispatch(nowNanos, pending);
            } else if (verdict instanceof Admission.Refused refused) {
                mGates.refused(pending.id());
                failed(
                        nowNanos,
                        pending,
                        toFailure(refused.code(), pending),
                        refused.retryAfterMillis());
            }
        }
    }

    private void dispatch(long nowNanos, PendingRequest pending) {
        if (pending.isKeyed() && !pending.server().fenced() && !isTableCurrent(nowNanos, pending)) {
            carryOut(nowNanos, mGates.finished(nowNanos, pending.id(), Outcome.NOT_RUN));
            failed(nowNanos, pending, Failure.NOT_OWNER, 0);
            return;
        }
        Address address = pending.server().address();
        GateLoad load = mGates.loadOf(pending.id());
        mOutputs.dispatch(pending.id(), pending.toDispatch(new Dispatch.Direct(address, load)));
    }

    private boolean isTableCurrent(long nowNanos, PendingRequest pending) {
        return mTables.permits(
                nowNanos, pending.service(), pending.hash(), pending.serverName(), pending.epoch());
    }

    private void failed(
            long nowNanos, PendingRequest pending, Failure failure, long retryAfterMillis) {
        if (pending.isForwarded()) {
            refuse(nowNanos, pending, failure.code(), retryAfterMillis);
            return;
        }
        ServiceView service = serviceView(pending.service());
        if (pending.endAttempt()) {
            if (failure.certainlyNotRun()) {
                service.refused(nowNanos, pending.id(), pending.serverName(), pending.sentNanos());
            } else {
                service.cancelled(
                        nowNanos, pending.id(), pending.serverName(), pending.sentNanos());
            }
        }
        RetryVerdict verdict =
                service.retries()
                        .failed(
                                new Attempt(
                                        pending.isIdempotent(),
                                        pending.attempts(),
                                        pending.mayHaveRun(),
                                        pending.deadlineNanos()),
                                failure,
                                nowNanos);
        if (!failure.certainlyNotRun()) {
            pending.noteMayHaveRun();
        }
        if (verdict instanceof RetryVerdict.Resend resend && pending.canResend()) {
            mRetries.add(new Retry(nowNanos + resend.delayNanos(), pending.id()));
        } else {
            refuse(
                    nowNanos,
                    pending,
                    pending.mayHaveRun() ? ResultCode.OUTCOME_UNKNOWN : failure.code(),
                    retryAfterMillis);
        }
    }

    /**
     * A keyed request waits for a new owner or a new gateway daemon when the one it was sent to
     * cannot be reached, as a lost server or daemon is replaced within its deadline.
     */
    private static Failure toFailure(ResultCode code, PendingRequest pending) {
        return switch (code) {
            case OVERLOADED -> Failure.GATE_FULL;
            case DEADLINE_UNREACHABLE -> Failure.GATE_TOO_LATE;
            case REFUSED_BY_SERVER -> Failure.REFUSED_BY_SERVER;
            case CONNECT_FAILED ->
                    pending.isKeyed() && !pending.isForwarded()
                            ? Failure.NOT_OWNER
                            : Failure.CONNECT_FAILED;
            default -> Failure.NOT_OWNER;
        };
    }

    private void refuse(
            long nowNanos, PendingRequest pending, ResultCode code, long retryAfterMillis) {
        mPending.remove(pending.id());
        if (!pending.isForwarded()) {
            mOutputs.ended(pending.route(), false, nowNanos - pending.arrivalNanos());
        }
        mOutputs.refuse(pending.id(), code, retryAfterMillis);
    }

    private record Retry(long atNanos, long id) {}
}
