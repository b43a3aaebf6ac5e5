package org.geraniumusher.entry;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.dispatch.NeedsHistory;
import org.geraniumusher.dispatch.ServerLoad;
import org.geraniumusher.dispatch.ServiceTimes;
import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.operator.Leaving;
import org.geraniumusher.operator.ServerStatus;
import org.geraniumusher.traffic.ServerEntry;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The upstreams of all backend servers that the directory lists. Confined to the event loop.
 *
 * <p>Invariant: the upstream of a server that owns keys is kept until the table names another
 * owner, even if the server's entry has been removed from the store.
 */
final class UpstreamSet {
    /** Service time that is assumed until a server of the service has completed a request. */
    static final long INITIAL_SERVICE_NANOS = 300_000_000L;

    private final Directory mDirectory;
    private final EventLoopGroup mGroup;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private final HeaderNames mHeaders;
    private final Random mRandom;
    private final ResponseBuffers mBuffers = new ResponseBuffers();
    private final Map<String, Upstream> mUpstreams = new HashMap<>();
    private final Map<String, List<Upstream>> mByService = new HashMap<>();
    private final Map<String, ServiceTimes> mServiceTimes = new HashMap<>();
    private final NeedsHistory mNeedsHistory = new NeedsHistory();
    private Listener mListener = Listener.NONE;

    /** Is notified of the upstreams that come and go. */
    interface Listener {
        /** A listener that does nothing. */
        Listener NONE =
                new Listener() {
                    @Override
                    public void onAdded(Upstream upstream) {}

                    @Override
                    public void onRemoved(Upstream upstream) {}
                };

        /** Called when a server is listed for the first time, or again after its removal. */
        void onAdded(Upstream upstream);

        /** Called when an upstream is removed. */
        void onRemoved(Upstream upstream);
    }

    UpstreamSet(
            Directory directory,
            EventLoopGroup group,
            LongSupplier clock,
            DecisionLog log,
            EntryMetrics metrics,
            HeaderNames headers,
            Random random) {
        mDirectory = directory;
        mGroup = group;
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
        mHeaders = headers;
        mRandom = random;
    }

    void setListener(Listener listener) {
        mListener = listener;
    }

    /** Registers gauges of the servers in each state and of the buffered responses. */
    void registerGauges() {
        mMetrics.registerGauge("servers.usable", () -> count(u -> !u.isLeaving() && !isSuspect(u)));
        mMetrics.registerGauge("servers.suspect", () -> count(u -> !u.isLeaving() && isSuspect(u)));
        mMetrics.registerGauge("servers.leaving", () -> count(Upstream::isLeaving));
        mMetrics.registerGauge("servers.paused", () -> count(this::isPaused));
        mMetrics.registerGauge("servers.limited", () -> count(UpstreamSet::isLimited));
        mMetrics.registerGauge("responses.buffered_bytes", mBuffers::totalBytes);
    }

    private boolean isSuspect(Upstream upstream) {
        return upstream.load().isSuspect(mClock.getAsLong());
    }

    private boolean isPaused(Upstream upstream) {
        return upstream.load().isPaused(mClock.getAsLong());
    }

    private static boolean isLimited(Upstream upstream) {
        return upstream.load().gate().limit().isActive();
    }

    private int count(Predicate<Upstream> condition) {
        return (int) mUpstreams.values().stream().filter(condition).count();
    }

    /** Brings the upstreams up to date with the directory; called after each of its changes. */
    void update() {
        long now = mClock.getAsLong();
        Map<String, ServerEntry> entries = mDirectory.servers();
        mUpstreams.entrySet().removeIf(e -> shouldRemove(e.getKey(), e.getValue(), now));
        for (ServerEntry entry : entries.values()) {
            Upstream upstream =
                    mUpstreams.computeIfAbsent(entry.incarnationId(), id -> createUpstream(entry));
            upstream.update(entry);
            if (entry.leaving()) {
                markLeaving(upstream, mDirectory.leaving(entry.incarnationId()));
            }
        }
        mByService.clear();
        for (Upstream upstream : mUpstreams.values()) {
            mByService
                    .computeIfAbsent(upstream.entry().service(), s -> new ArrayList<>())
                    .add(upstream);
        }
    }

    /**
     * Marks an upstream as leaving if its entry has been removed, unless the entry may only have
     * expired while the store was unreachable. Returns whether the upstream can be removed too.
     */
    private boolean shouldRemove(String incarnationId, Upstream upstream, long nowNanos) {
        if (mDirectory.servers().containsKey(incarnationId)) {
            return false;
        }
        long missingSince = upstream.markMissing(nowNanos);
        if (!mDirectory.mayMissingServersReregister(nowNanos)) {
            markLeaving(upstream, Leaving.ENTRY_REMOVED, missingSince);
        }
        boolean remove = upstream.isLeaving() && !isOwner(incarnationId);
        if (remove) {
            mNeedsHistory.onRemoved(incarnationId, upstream.load().needs(), nowNanos);
            mListener.onRemoved(upstream);
        }
        return remove;
    }

    /** Records and logs that a server is leaving, unless that is known already. */
    void markLeaving(Upstream upstream, Leaving cause) {
        markLeaving(upstream, cause, mClock.getAsLong());
    }

    private void markLeaving(Upstream upstream, Leaving cause, long sinceNanos) {
        if (!upstream.isLeaving()) {
            upstream.markLeaving(cause, sinceNanos);
            mLog.write(
                    Part.SERVER,
                    "Server is leaving",
                    "server",
                    upstream.entry().incarnationId(),
                    "cause",
                    cause.cause(),
                    "revision",
                    mDirectory.mirror(StoreKind.SERVERS).revision());
        }
    }

    private boolean isOwner(String incarnationId) {
        return mDirectory.tables().tables().values().stream()
                .flatMap(t -> t.assignments().stream())
                .anyMatch(a -> a.owner().equals(incarnationId));
    }

    private Upstream createUpstream(ServerEntry entry) {
        mLog.write(
                Part.SERVER,
                "Server discovered",
                "server",
                entry.incarnationId(),
                "address",
                entry.address(),
                "data_centre",
                entry.dataCentre(),
                "leaving",
                entry.leaving());
        Upstream upstream =
                new Upstream(
                        entry,
                        mGroup,
                        mClock,
                        mBuffers,
                        mHeaders,
                        new StrayResponses(
                                mLog,
                                mMetrics,
                                StrayResponses.Sender.SERVER,
                                entry.incarnationId()),
                        createLoad(entry));
        mListener.onAdded(upstream);
        return upstream;
    }

    private ServerLoad createLoad(ServerEntry entry) {
        return ServerLoad.create(
                entry.slots(),
                mServiceTimes.computeIfAbsent(
                        entry.service(), s -> ServiceTimes.create(INITIAL_SERVICE_NANOS)),
                mRandom.nextDouble(),
                mNeedsHistory.onListed(entry.incarnationId(), mRandom.nextDouble()));
    }

    /** Returns the upstream of an incarnation, or null if there is none. */
    Upstream get(String incarnationId) {
        return mUpstreams.get(incarnationId);
    }

    /** Returns the requests per second that an incarnation takes, if it has a limit. */
    OptionalDouble limitOf(String incarnationId) {
        Upstream upstream = get(incarnationId);
        return upstream == null || !isLimited(upstream)
                ? OptionalDouble.empty()
                : OptionalDouble.of(upstream.load().gate().limit().requestsPerSecond());
    }

    /** Returns the upstreams of the servers that have a limit. */
    List<Upstream> limited() {
        return mUpstreams.values().stream().filter(UpstreamSet::isLimited).toList();
    }

    /** Returns all upstreams, including those that are leaving. */
    Collection<Upstream> all() {
        return mUpstreams.values();
    }

    /** Returns the upstreams of a service, including those that are leaving. */
    List<Upstream> ofService(String service) {
        return mByService.getOrDefault(service, List.of());
    }

    /**
     * Returns when a server that may execute the request ends its pause or, if it waits for one
     * with a limit, has a permit for it. Returns {@code nowNanos} if neither keeps it from being
     * sent.
     */
    long availableAt(Exchange exchange, long nowNanos) {
        Optional<Upstream> limited = exchange.awaitedServer();
        if (limited.isPresent()) {
            return limited.get().load().gate().opensAtNanos(nowNanos);
        }
        Stream<Upstream> servers =
                exchange.hasKey()
                        ? mDirectory.table(exchange.service()).stream()
                                .map(t -> get(t.find(exchange.key()).owner()))
                                .filter(Objects::nonNull)
                        : ofService(exchange.service()).stream().filter(u -> !u.isLeaving());
        return servers.mapToLong(u -> u.load().pausedUntil(nowNanos)).min().orElse(nowNanos);
    }

    /**
     * Returns the status of each server that is leaving, paused or limited, by service and
     * incarnation.
     *
     * @param wallMillis milliseconds since 1970
     */
    List<ServerStatus> statuses(long wallMillis) {
        long now = mClock.getAsLong();
        return mUpstreams.values().stream()
                .filter(u -> u.isLeaving() || u.load().isPaused(now) || isLimited(u))
                .map(u -> statusOf(u, now, wallMillis))
                .sorted(
                        Comparator.comparing(ServerStatus::service)
                                .thenComparing(ServerStatus::server))
                .toList();
    }

    private static ServerStatus statusOf(Upstream upstream, long nowNanos, long wallMillis) {
        long leftNanos = upstream.load().pausedUntil(nowNanos) - nowNanos;
        Instant until =
                Instant.ofEpochMilli(wallMillis)
                        .plusNanos(leftNanos)
                        .truncatedTo(ChronoUnit.MILLIS);
        return new ServerStatus(
                upstream.entry().incarnationId(),
                upstream.entry().service(),
                upstream.leaving(),
                leftNanos == 0 ? "" : until.toString(),
                leftNanos / 1e9,
                isLimited(upstream)
                        ? upstream.load().gate().limit().requestsPerSecond()
                        : ServerStatus.NO_LIMIT);
    }

    /** Closes the idle connections that their servers are about to close. */
    void closeExpired() {
        long now = mClock.getAsLong();
        mUpstreams.values().forEach(u -> u.closeExpired(now));
    }
}
