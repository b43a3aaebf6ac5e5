package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.operator.Json;
import org.geraniumusher.operator.JsonReply;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.operator.MemberStatus.State;
import org.geraniumusher.quarantine.RequestFingerprint;
import org.geraniumusher.traffic.Drain;
import org.geraniumusher.traffic.RouterConfig;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * Reports the status of this daemon to its peers, and collects theirs when an operator requests a
 * view of all daemons. Sends nothing without a request. Confined to the event loop.
 */
final class FleetStatus {
    /** Path at which a daemon serves its status to its peers. */
    static final String PATH = "/status";

    /** Must be shorter than the 5 s that the command-line tool waits for its reply. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private static final String COORDINATOR = "coordinator";

    /** Query parameter with which a daemon or the tool asks for the ages of copies. */
    static final String AGES = "ages";

    private final DaemonContext mContext;
    private final CoordinatorService mCoordinator;
    private final HttpClient mClient;
    private final UpstreamSet mUpstreams;
    private final LongSupplier mWallClock;

    /**
     * Status of one daemon, as sent between daemons.
     *
     * @param burn encoded {@link BurnSummary}; empty if the daemon did not answer
     */
    record Status(MemberStatus member, byte[] burn) {}

    /**
     * Creates the status of a daemon.
     *
     * @param wallClock milliseconds since 1970
     */
    FleetStatus(
            DaemonContext context,
            CoordinatorService coordinator,
            HttpClient client,
            UpstreamSet upstreams,
            LongSupplier wallClock) {
        mUpstreams = checkNotNull(upstreams);
        mWallClock = checkNotNull(wallClock);
        mContext = checkNotNull(context);
        mCoordinator = checkNotNull(coordinator);
        mClient = checkNotNull(client);
    }

    /** Returns the reply to a peer that requests the status of this daemon. */
    HttpReply statusReply(HttpCall call) {
        return JsonReply.ok(ownStatus(call.query(AGES).isPresent()));
    }

    /**
     * Returns the status of this daemon and the {@code peers}; a peer that does not answer is
     * listed as suspect.
     *
     * @param withAges whether the ages of their copies are included
     */
    CompletableFuture<ImmutableList<MemberStatus>> members(List<Address> peers, boolean withAges) {
        return collectStatuses(peers, withAges)
                .thenApply(
                        all ->
                                all.stream()
                                        .map(Status::member)
                                        .collect(ImmutableList.toImmutableList()));
    }

    /** Returns the burn rates over this daemon and the {@code peers} that answer. */
    CompletableFuture<BurnReport> burnReport(List<Address> peers) {
        return collectStatuses(peers, false)
                .thenApply(
                        all ->
                                mContext.metrics()
                                        .burnReport(
                                                all.stream()
                                                        .filter(s -> s.burn().length > 0)
                                                        .map(s -> BurnSummary.fromBytes(s.burn()))
                                                        .toList()));
    }

    private Status ownStatus(boolean withAges) {
        long version = mContext.directory().configuration().map(RouterConfig::version).orElse(0L);
        Map<String, Long> tables =
                mContext.directory().tables().tables().entrySet().stream()
                        .collect(
                                ImmutableMap.toImmutableMap(
                                        Map.Entry::getKey, e -> e.getValue().version().revision()));
        MemberStatus member =
                new MemberStatus(
                        mContext.settings().name(),
                        mContext.incarnation(),
                        State.ALIVE,
                        mContext.settings().dataCentre(),
                        version,
                        mContext.directory().drains().stream().map(Drain::name).toList(),
                        quarantineRevisions(),
                        tables,
                        mCoordinator.isActing() ? ImmutableList.of(COORDINATOR) : List.of(),
                        mUpstreams.statuses(mWallClock.getAsLong()),
                        withAges ? copyAges() : ImmutableMap.of());
        return new Status(member, mContext.metrics().burnSummary().toBytes());
    }

    private ImmutableMap<String, Long> copyAges() {
        ImmutableMap.Builder<String, Long> ages = ImmutableMap.builder();
        for (KindMirror mirror : mContext.directory().mirrors()) {
            ages.put(
                    Ascii.toLowerCase(mirror.kind().name()),
                    mContext.directory().copyAgeMillis(mirror.kind()));
        }
        return ages.buildOrThrow();
    }

    private ImmutableMap<String, Long> quarantineRevisions() {
        Directory directory = mContext.directory();
        return directory.quarantines().keySet().stream()
                .collect(
                        ImmutableMap.toImmutableMap(
                                RequestFingerprint::hex, directory::quarantineRevision));
    }

    private CompletableFuture<List<Status>> collectStatuses(List<Address> peers, boolean withAges) {
        HttpCall call = HttpCall.of("GET", withAges ? PATH + "?" + AGES + "=1" : PATH);
        List<CompletableFuture<Status>> statuses = new ArrayList<>();
        statuses.add(CompletableFuture.completedFuture(ownStatus(withAges)));
        for (Address peer : peers) {
            statuses.add(
                    mClient.call(peer, call, CALL_TIMEOUT)
                            .thenApply(reply -> Json.read(reply.text(), Status.class))
                            .exceptionally(error -> suspectStatus(peer, error)));
        }
        return CompletableFuture.allOf(statuses.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> statuses.stream().map(CompletableFuture::join).toList());
    }

    private Status suspectStatus(Address peer, Throwable error) {
        mContext.log()
                .write(
                        Part.PEER,
                        "Daemon did not report its status",
                        "peer",
                        peer,
                        "cause",
                        error.getMessage());
        MemberStatus unknown =
                new MemberStatus(
                        peer.toString(),
                        0,
                        State.SUSPECT,
                        "unknown",
                        0,
                        ImmutableList.of(),
                        ImmutableMap.of(),
                        ImmutableMap.of(),
                        ImmutableList.of(),
                        ImmutableList.of(),
                        ImmutableMap.of());
        return new Status(unknown, new byte[0]);
    }
}
