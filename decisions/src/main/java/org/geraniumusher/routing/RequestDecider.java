package org.geraniumusher.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.agrona.collections.Long2ObjectHashMap;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

/**
 * Decides where each request goes and whether an attempt is repeated.
 *
 * <p>Invariants: a request has at most one attempt under way; a request that is not idempotent is
 * sent again only after an attempt that certainly did not run; a forwarded request goes only to the
 * server that it names. Not thread-safe: one thread owns it.
 */
public final class RequestDecider {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long FIRST_BACKOFF_NANOS = 10 * NANOS_PER_MILLI;
    private static final long MAX_BACKOFF_NANOS = 80 * NANOS_PER_MILLI;

    /** Bounds attempts of unkeyed requests; keyed ones wait for their owner until the deadline. */
    private static final int MAX_UNKEYED_ATTEMPTS = 3;

    private final RequestOutputs mOutputs;
    private final SplittableRandom mRandom;
    private final Long2ObjectHashMap<PendingRequest> mPending = new Long2ObjectHashMap<>();
    private final PriorityQueue<Retry> mRetries =
            new PriorityQueue<>(Comparator.comparingLong(Retry::atNanos));
    private final Map<String, ShardState> mShards = new HashMap<>();
    private final Map<String, ImmutableList<BackendServer>> mServers = new HashMap<>();
    private Configuration mConfiguration = Configuration.of();
    private RouteTable mRoutes = RouteTable.of(mConfiguration);
    private GatewayTable mGateways = server -> Optional.empty();

    private RequestDecider(RequestOutputs outputs, long seed) {
        mOutputs = checkNotNull(outputs);
        mRandom = new SplittableRandom(seed);
    }

    /** Returns a decider without configuration, which refuses every request. */
    public static RequestDecider create(RequestOutputs outputs, long seed) {
        return new RequestDecider(outputs, seed);
    }

    /** Replaces the configuration. */
    public void onConfiguration(Configuration configuration) {
        mConfiguration = configuration;
        mRoutes = RouteTable.of(configuration);
        mServers.clear();
        for (Service service : configuration.services()) {
            mServers.put(service.name(), configuration.serversOf(service));
        }
    }

    /** Replaces the state of a shard. */
    public void onShard(ShardState state) {
        mShards.put(state.service(), state);
    }

    /** Replaces the table of gateway daemons. */
    public void onGateways(GatewayTable gateways) {
        mGateways = checkNotNull(gateways);
    }

    /** Takes a request of a caller. */
    public void onArrival(long nowNanos, long id, RequestHead head) {
        RouteMatch match = mRoutes.match(head);
        if (match instanceof RouteMatch.Refused refused) {
            mOutputs.refuse(id, refused.code(), 0);
        } else if (match instanceof RouteMatch.Keyed keyed) {
            long deadline = nowNanos + keyed.route().timeoutMillis() * NANOS_PER_MILLI;
            boolean idempotent = keyed.route().isIdempotent(head.method());
            begin(nowNanos, PendingRequest.ofKeyed(id, deadline, keyed, idempotent));
        } else if (match instanceof RouteMatch.Unkeyed unkeyed) {
            long deadline = nowNanos + unkeyed.route().timeoutMillis() * NANOS_PER_MILLI;
            boolean idempotent = unkeyed.route().isIdempotent(head.method());
            begin(nowNanos, PendingRequest.ofUnkeyed(id, deadline, unkeyed, idempotent));
        }
    }

    /** Takes a request that another daemon forwarded to this one as the gateway of its server. */
    public void onForwarded(long nowNanos, long id, ForwardedRequest request) {
        long deadline = nowNanos + request.leftMillis() * NANOS_PER_MILLI;
        Optional<BackendServer> server = mConfiguration.backendServer(request.server());
        if (server.isEmpty()) {
            mOutputs.refuse(id, ResultCode.NO_BACKEND_SERVER, 0);
            return;
        }
        PendingRequest pending = PendingRequest.ofForwarded(id, deadline, request);
        mPending.put(id, pending);
        send(pending, server.get(), server.get().address(), false, request.epoch());
    }

    /** Takes the end of an attempt that certainly did not run. */
    public void onNotRun(long nowNanos, long id, ResultCode code, boolean canResend) {
        PendingRequest pending = mPending.get(id);
        if (pending == null) {
            return;
        }
        long at = nowNanos + backoffNanos(pending.attempts());
        boolean retry =
                canResend
                        && !pending.isForwarded()
                        && at < pending.deadlineNanos()
                        && (pending.isKeyed() || pending.attempts() < MAX_UNKEYED_ATTEMPTS);
        if (retry) {
            mRetries.add(new Retry(at, id));
        } else {
            refuse(pending, code);
        }
    }

    /** Takes the end of an attempt that may have run. */
    public void onOutcomeUnknown(long nowNanos, long id, boolean canResend) {
        PendingRequest pending = mPending.get(id);
        if (pending == null) {
            return;
        }
        boolean retry =
                canResend
                        && !pending.isForwarded()
                        && pending.isIdempotent()
                        && pending.attempts() < MAX_UNKEYED_ATTEMPTS;
        if (retry) {
            mRetries.add(new Retry(nowNanos + backoffNanos(pending.attempts()), id));
        } else {
            refuse(pending, ResultCode.OUTCOME_UNKNOWN);
        }
    }

    /** Takes the end of a request that was answered. */
    public void onAnswered(long id) {
        mPending.remove(id);
    }

    /** Takes the end of a request whose caller has left or whose deadline has passed. */
    public void onAbandoned(long id) {
        mPending.remove(id);
    }

    /** Begins the attempts that are due. */
    public void onTick(long nowNanos) {
        while (!mRetries.isEmpty() && mRetries.peek().atNanos() <= nowNanos) {
            PendingRequest pending = mPending.get(mRetries.poll().id());
            if (pending != null) {
                attempt(nowNanos, pending);
            }
        }
    }

    /** Returns the time of the next due attempt, or {@link Long#MAX_VALUE}. */
    public long nextDueNanos() {
        return mRetries.isEmpty() ? Long.MAX_VALUE : mRetries.peek().atNanos();
    }

    private void begin(long nowNanos, PendingRequest pending) {
        mPending.put(pending.id(), pending);
        attempt(nowNanos, pending);
    }

    private void attempt(long nowNanos, PendingRequest pending) {
        if (pending.isKeyed()) {
            attemptAtOwner(nowNanos, pending);
            return;
        }
        Optional<BackendServer> server = chooseServer(pending);
        if (server.isEmpty()) {
            refuse(pending, ResultCode.NO_BACKEND_SERVER);
        } else {
            sendThroughGateway(pending, server.get(), 0);
        }
    }

    private void attemptAtOwner(long nowNanos, PendingRequest pending) {
        ShardState shard = mShards.get(pending.service());
        Slice slice = shard == null ? null : shard.sliceOf(pending.hash());
        Optional<BackendServer> owner =
                slice == null || !slice.hasOwner()
                        ? Optional.empty()
                        : mConfiguration.backendServer(slice.owner());
        if (owner.isPresent()) {
            sendThroughGateway(pending, owner.get(), slice.epoch());
        } else {
            pending.beginAttempt("");
            onNotRun(nowNanos, pending.id(), ResultCode.NO_OWNER, true);
        }
    }

    private Optional<BackendServer> chooseServer(PendingRequest pending) {
        ImmutableList<BackendServer> servers =
                mServers.getOrDefault(pending.service(), ImmutableList.of());
        return servers.isEmpty()
                ? Optional.empty()
                : Optional.of(servers.get(mRandom.nextInt(servers.size())));
    }

    private void sendThroughGateway(PendingRequest pending, BackendServer server, long epoch) {
        Optional<Address> gateway = mGateways.gatewayOf(server);
        send(
                pending,
                server,
                gateway.orElse(server.address()),
                gateway.isPresent(),
                epoch);
    }

    private void send(
            PendingRequest pending,
            BackendServer server,
            Address address,
            boolean viaGateway,
            long epoch) {
        pending.beginAttempt(server.name());
        mOutputs.dispatch(
                pending.id(),
                new Dispatch(
                        server.name(),
                        address,
                        viaGateway,
                        pending.service(),
                        pending.isKeyed(),
                        pending.hash(),
                        epoch,
                        pending.isIdempotent(),
                        pending.priority(),
                        pending.deadlineNanos()));
    }

    private void refuse(PendingRequest pending, ResultCode code) {
        mPending.remove(pending.id());
        mOutputs.refuse(pending.id(), code, 0);
    }

    private static long backoffNanos(int attempts) {
        int doublings = Math.min(Math.max(0, attempts - 1), 3);
        return Math.min(MAX_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << doublings);
    }

    private record Retry(long atNanos, long id) {}
}
