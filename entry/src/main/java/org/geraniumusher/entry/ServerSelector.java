package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.dispatch.ServerLoad;
import org.geraniumusher.dispatch.ServerPicker;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.traffic.ServerEntry;
import org.geraniumusher.traffic.ServiceRule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * Selects the backend server for a request: the owner of its key, or the one with the least
 * expected time. Confined to the event loop.
 *
 * <p>Invariant: a server that leaves gets no request later than its drain time after its entry said
 * so, as far as this daemon learns of it within the maximum lag.
 */
final class ServerSelector {
    /**
     * Fraction of the drain time during which a leaving server may still get requests. The rest is
     * a margin for requests in transit.
     */
    private static final double DRAIN_FRACTION_USED = 0.7;

    /** Allowance for the transit of a request to a server and of a change from the store. */
    private static final long TRANSIT_NANOS = 200_000_000;

    /**
     * Fraction of the cold rate that this daemon uses. It leaves a margin, because the daemons
     * share this rate and none knows how much the others use.
     */
    private static final double COLD_RATE_FRACTION_USED = 0.9;

    private final EntrySettings mSettings;
    private final Directory mDirectory;
    private final UpstreamSet mUpstreams;
    private final LimitPermits mLimitPermits;
    private final Random mRandom;
    private final IntSupplier mDaemonCount;
    private long mMaxEntryLagNanos;

    /**
     * Creates a selector.
     *
     * @param daemonCount returns the number of daemons, which share the rate of a cold server
     */
    ServerSelector(
            EntrySettings settings,
            Directory directory,
            UpstreamSet upstreams,
            LimitPermits limitPermits,
            Random random,
            IntSupplier daemonCount) {
        mSettings = checkNotNull(settings);
        mDirectory = checkNotNull(directory);
        mUpstreams = checkNotNull(upstreams);
        mLimitPermits = checkNotNull(limitPermits);
        mRandom = checkNotNull(random);
        mDaemonCount = checkNotNull(daemonCount);
    }

    /** Sets the maximum delay with which this daemon learns of changes of server entries. */
    void setMaxEntryLagNanos(long nanos) {
        mMaxEntryLagNanos = nanos;
    }

    /**
     * Returns the server that can take a request now, if any. Sets the wait reason, which applies
     * if the result is empty.
     */
    Optional<Upstream> select(Exchange exchange, long now) {
        return exchange.hasKey() ? findOwner(exchange, now) : pickServer(exchange, now);
    }

    /** Returns whether a server that was selected for a request may still get it. */
    boolean mayUse(Exchange exchange, Upstream upstream, long now) {
        return exchange.hasKey() ? mayUseOwner(upstream, now) : isInService(upstream);
    }

    private Optional<Upstream> findOwner(Exchange exchange, long now) {
        Optional<RangeTable> table = mDirectory.table(exchange.service());
        exchange.setWaitReason(ResultCode.NO_OWNER);
        if (table.isEmpty()) {
            return Optional.empty();
        }
        Assignment assignment = table.get().find(exchange.key());
        Upstream upstream = mUpstreams.get(assignment.owner());
        if (!mDirectory.tables().mayServe(exchange.service(), assignment) || upstream == null) {
            return Optional.empty();
        }
        if (!mayUseOwner(upstream, now)) {
            return Optional.empty();
        }
        if (upstream.load().isSuspect(now)) {
            exchange.setServersUnreached();
            return Optional.empty();
        }
        exchange.setWaitReason(ResultCode.OVERLOADED);
        if (!upstream.load().gate().isOpen(now)) {
            exchange.awaitPermit(upstream);
            return Optional.empty();
        }
        return tryAdmit(exchange, upstream, now) ? Optional.of(upstream) : Optional.empty();
    }

    /** Returns whether an owner is in service, or has begun to leave so recently that it works. */
    private boolean mayUseOwner(Upstream owner, long now) {
        boolean left =
                owner.isLeaving() && now - owner.leavingSinceNanos() > maxUseAfterLeavingNanos();
        return !left && !mDirectory.isOutOfService(owner.entry());
    }

    /** Returns how long a server may get requests after this daemon has learnt that it leaves. */
    private long maxUseAfterLeavingNanos() {
        long drainNanos = mSettings.drainNanos();
        long nanos =
                Math.min(
                        (long) (drainNanos * DRAIN_FRACTION_USED),
                        drainNanos - mMaxEntryLagNanos - TRANSIT_NANOS);
        return Math.max(0, nanos);
    }

    /** Reports whether the server can take the request now; takes a token of a cold server. */
    private boolean tryAdmit(Exchange exchange, Upstream upstream, long now) {
        ServerLoad load = upstream.load();
        boolean inTime = now + load.expectedResponseNanos(now) <= exchange.goalAtNanos();
        boolean free = load.expectedLoad(now) < upstream.entry().slots();
        return (inTime || free) && load.tryAdmit(coldRequestsPerSecond(exchange.service()), now);
    }

    /** Returns the number of requests per second that this daemon may send to a cold server. */
    private double coldRequestsPerSecond(String service) {
        double rate =
                mDirectory
                        .configuration()
                        .map(c -> c.services().get(service))
                        .map(ServiceRule::coldRequestsPerSecond)
                        .orElse(0.0);
        return rate <= 0
                ? Double.MAX_VALUE
                : rate * COLD_RATE_FRACTION_USED / mDaemonCount.getAsInt();
    }

    /**
     * Picks the server for a request without a key. A permit at hand is used first, since a server
     * with a limit would otherwise idle, and only its answers tell that the limit has ended.
     */
    private Optional<Upstream> pickServer(Exchange exchange, long now) {
        List<Upstream> limited = limitedServers(exchange);
        Optional<Upstream> picked =
                limited.stream().anyMatch(u -> u.load().gate().hasPermit(now))
                        ? pickServer(exchange, now, u -> u.load().gate().hasPermit(now))
                        : Optional.empty();
        if (picked.isEmpty()) {
            picked = pickServer(exchange, now, u -> true);
        }
        if (picked.isPresent()) {
            limited.forEach(mLimitPermits::wantForLater);
        } else {
            limited.stream()
                    .min(Comparator.comparingLong(u -> u.load().gate().opensAtNanos(now)))
                    .ifPresent(exchange::awaitPermit);
        }
        return picked;
    }

    private List<Upstream> limitedServers(Exchange exchange) {
        return mUpstreams.ofService(exchange.service()).stream()
                .filter(u -> u.load().gate().limit().isActive() && isInService(u))
                .toList();
    }

    private Optional<Upstream> pickServer(
            Exchange exchange, long now, Predicate<Upstream> condition) {
        List<ServerPicker.Candidate> candidates = new ArrayList<>();
        for (Upstream upstream : mUpstreams.ofService(exchange.service())) {
            ServerEntry entry = upstream.entry();
            if (isInService(upstream) && condition.test(upstream)) {
                boolean local = entry.dataCentre().equals(mSettings.dataCentre());
                boolean tried = exchange.triedIncarnations().contains(entry.incarnationId());
                candidates.add(
                        new ServerPicker.Candidate(
                                entry.incarnationId(),
                                upstream.load(),
                                entry.slots(),
                                local,
                                tried));
            }
        }
        exchange.setWaitReason(
                candidates.isEmpty() ? ResultCode.NO_BACKEND_SERVER : ResultCode.OVERLOADED);
        if (!candidates.isEmpty() && candidates.stream().allMatch(c -> c.load().isSuspect(now))) {
            exchange.setServersUnreached();
        }
        return ServerPicker.pick(
                        candidates,
                        exchange.goalAtNanos() - now,
                        coldRequestsPerSecond(exchange.service()),
                        now,
                        mRandom)
                .map(c -> mUpstreams.get(c.incarnationId()));
    }

    /**
     * Returns the time before which the key of a request that finds no owner has none, or {@code
     * now} if it is not known.
     */
    long nextOwnerNotBefore(Exchange exchange, long now) {
        return exchange.waitReason() == ResultCode.NO_OWNER
                ? mDirectory.tables().nextOwnerNotBefore(exchange.service(), exchange.key(), now)
                : now;
    }

    private boolean isInService(Upstream upstream) {
        return !upstream.isLeaving() && !mDirectory.isOutOfService(upstream.entry());
    }
}
