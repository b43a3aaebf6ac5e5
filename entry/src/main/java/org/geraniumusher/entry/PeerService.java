package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.OtherProtocol;
import org.geraniumusher.http.Responder;
import org.geraniumusher.keyrange.CoordinatorRecord;
import org.geraniumusher.model.Address;
import org.geraniumusher.relay.Feeders;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Communicates with the other daemons: registers this daemon in the store and lists the others,
 * reports the requests and the leaving servers of keyed services to the coordinator, answers the
 * calls of peers, and has objects of the store copied from them while it is unreachable. Confined
 * to the event loop.
 */
final class PeerService implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Path to which daemons post the requests of keyed services. */
    private static final String WORK_PATH = "/work";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
    private static final long TICK_INTERVAL_MILLIS = 500;
    private static final long REPORT_INTERVAL_NANOS = 500_000_000L;
    private static final long LIST_INTERVAL_NANOS = 5_000_000_000L;

    /** When all daemons start at once, they register within this time after the start. */
    private static final long STARTUP_NANOS = 4_000_000_000L;

    /** Interval between lists of the daemons during {@link #STARTUP_NANOS}. */
    private static final long STARTUP_LIST_INTERVAL_NANOS = 1_000_000_000L;

    private final EntrySettings mSettings;
    private final long mIncarnation;
    private final Directory mDirectory;
    private final Store mStore;
    private final CoordinatorService mCoordinator;
    private final Dispatcher mDispatcher;
    private final KeyedRequestStats mKeyedRequestStats;
    private final FleetStatus mFleet;
    private final RelayedStore mRelayedStore;
    private final RelayEndpoint mRelayEndpoint;
    private final TableExchange mTableExchange;
    private final CopyExchange mCopyExchange;
    private final CopyNotices mCopyNotices;
    private final CrashReporter mCrashReporter;
    private final ProbationTrials mProbationTrials;
    private final LeavingReporter mLeavingReporter;
    private final ReachInquiry mReachInquiry;
    private final HoldInquiry mHoldInquiry;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final HttpClient mClient;
    private final ImmutableMap<String, PeerCall> mCalls;
    private final HttpServer mServer;
    private final Random mRandom;

    /** Seeds and addresses of all daemons that were ever listed, possibly with this one. */
    private final Set<Address> mKnownAddresses = new LinkedHashSet<>();

    private long mStartedAt;
    private long mNextReportAt;
    private long mNextListAt;
    private boolean mRegistered;
    private boolean mRegistering;

    /** Answers one kind of call of peers, at once or later. */
    private interface PeerCall {
        void answer(HttpCall call, Responder responder) throws IOException;
    }

    /** Processes a call whose answer says no more than that it was accepted. */
    private interface Notice {
        void process(HttpCall call) throws IOException;
    }

    /** Returns the answer to a call. */
    private interface Query {
        HttpReply reply(HttpCall call) throws IOException;
    }

    PeerService(
            DaemonContext context,
            WireFormat wire,
            CoordinatorService coordinator,
            Dispatcher dispatcher,
            KeyedRequestStats keyedRequestStats,
            FleetStatus fleet,
            RelayedStore relayedStore,
            CrashReporter crashReporter,
            ProbationTrials probationTrials,
            HttpClient client,
            OtherProtocol forwardedRequests,
            EventLoopGroup group) {
        mSettings = context.settings();
        mIncarnation = context.incarnation();
        mDirectory = context.directory();
        mStore = context.store();
        mThread = context.thread();
        mClock = context.clock();
        mLog = context.log();
        mCoordinator = coordinator;
        mDispatcher = dispatcher;
        mKeyedRequestStats = keyedRequestStats;
        mFleet = fleet;
        mRelayedStore = relayedStore;
        mRelayEndpoint = new RelayEndpoint(context, relayedStore);
        mCrashReporter = crashReporter;
        mProbationTrials = probationTrials;
        mLeavingReporter = new LeavingReporter(context, coordinator, client);
        mClient = client;
        mRandom = new Random(mIncarnation);
        mKnownAddresses.addAll(mSettings.seedAddresses());
        mTableExchange = new TableExchange(context, this::peerAddresses, client);
        coordinator.setPublisher(mTableExchange);
        mCopyExchange =
                new CopyExchange(
                        context,
                        wire,
                        (peer, call) -> client.call(peer, call, CopyExchange.CALL_TIMEOUT),
                        this::peerAddresses,
                        mRandom);
        mCopyNotices =
                new CopyNotices(
                        context,
                        coordinator,
                        client,
                        dispatcher.limitPermits(),
                        mCopyExchange::onInformedPeer);
        context.metrics()
                .registerGauge(
                        "configuration.version_at_peer",
                        () -> (int) mCopyNotices.peerConfigurationVersion());
        mReachInquiry =
                new ReachInquiry(
                        context,
                        coordinator,
                        ConnectProbe.create(group),
                        dispatcher.upstreams(),
                        this::peerAddresses,
                        client);
        coordinator.setPeerReach(mReachInquiry);
        mHoldInquiry = new HoldInquiry(context, coordinator, client);
        coordinator.setHoldInquiry(mHoldInquiry);
        // A restore may have lost the entry of this daemon; the next tick writes it again.
        mStore.epoch().addListener(() -> mRegistered = false);
        mCalls = createCalls();
        mServer =
                HttpServer.create(
                        group,
                        mSettings.peerAddress(),
                        (call, responder) -> mThread.execute(() -> handle(call, responder)),
                        AcceptFailures.listener(mLog, context.metrics(), "peers"),
                        forwardedRequests);
    }

    /** Starts the periodic work; must be called once. */
    void start() {
        mStartedAt = mClock.getAsLong();
        mDirectory.addListener(mLeavingReporter::send);
        tick();
    }

    private void tick() {
        long now = mClock.getAsLong();
        if (now >= mNextReportAt) {
            mNextReportAt = now + REPORT_INTERVAL_NANOS;
            sendReports();
        }
        mCrashReporter.tick();
        mLeavingReporter.send();
        if (!mRegistered && !mRegistering) {
            register();
        }
        if (now >= mNextListAt) {
            mNextListAt =
                    now
                            + (now - mStartedAt < STARTUP_NANOS
                                    ? STARTUP_LIST_INTERVAL_NANOS
                                    : LIST_INTERVAL_NANOS);
            listDaemons();
        }
        if (!mDirectory.tables().isLoaded()) {
            randomPeer().ifPresent(mTableExchange::fetchTables);
        }
        mCopyExchange.wake();
        mThread.schedule(this::tick, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void register() {
        mRegistering = true;
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        spec.put("peer", mSettings.peerAddress().toString());
        spec.put("data_centre", mSettings.dataCentre());
        spec.put("link_mbps", mSettings.linkMbps());
        spec.put("incarnation", mIncarnation);
        mStore.create(StoreKind.DAEMONS, mSettings.name(), spec)
                .thenAccept(
                        result ->
                                mThread.execute(
                                        () -> {
                                            mRegistering = false;
                                            onRegistered(result, spec);
                                        }));
    }

    private void onRegistered(StoreResult result, ObjectNode spec) {
        if (result instanceof StoreResult.Written) {
            mRegistered = true;
        } else if (result instanceof StoreResult.Conflict conflict) {
            mRegistered = conflict.object().spec().path("peer").equals(spec.path("peer"));
            if (!mRegistered) {
                mRegistering = true;
                mStore.replace(
                                StoreKind.DAEMONS,
                                mSettings.name(),
                                spec,
                                conflict.object().revision())
                        .thenAccept(
                                replaced ->
                                        mThread.execute(
                                                () -> {
                                                    mRegistering = false;
                                                    mRegistered =
                                                            replaced instanceof StoreResult.Written;
                                                }));
            }
        }
    }

    private void listDaemons() {
        mStore.listAll(StoreKind.DAEMONS, true)
                .thenAccept(result -> mThread.execute(() -> onDaemonsListed(result)));
    }

    private void onDaemonsListed(StoreResult result) {
        if (result instanceof StoreResult.Page page) {
            List<Feeders.Member> members = new ArrayList<>();
            for (StoreObject object : page.objects()) {
                try {
                    Address peer = Address.of(object.spec().path("peer").asText());
                    mKnownAddresses.add(peer);
                    String dataCentre = object.spec().path("data_centre").asText();
                    long linkMbps = object.spec().path("link_mbps").asLong();
                    members.add(new Feeders.Member(object.name(), dataCentre, peer, linkMbps));
                } catch (IllegalArgumentException e) {
                    mLog.write(
                            Part.PEER,
                            "Cannot decode the entry of a daemon",
                            "daemon",
                            object.name(),
                            "reason",
                            e.getMessage());
                }
            }
            mRelayedStore.setMembers(members);
            mDirectory.setServerSource(mRelayedStore.source());
            mCopyNotices.setMembers(members);
            mDispatcher.forwarder().setMembers(members);
            mDispatcher.setMaxEntryLagNanos(
                    mRelayedStore.isFollower() ? RelayEndpoint.MAX_LAG_NANOS : 0);
            if (!page.objects().isEmpty()) {
                mDispatcher.setDaemonCount(page.objects().size());
            }
        }
    }

    /** Returns the addresses of the other daemons; some of these may no longer run. */
    ImmutableList<Address> peerAddresses() {
        return mKnownAddresses.stream()
                .filter(peer -> !peer.equals(mSettings.peerAddress()))
                .collect(ImmutableList.toImmutableList());
    }

    private Optional<Address> randomPeer() {
        List<Address> peerAddresses = peerAddresses();
        return peerAddresses.isEmpty()
                ? Optional.empty()
                : Optional.of(peerAddresses.get(mRandom.nextInt(peerAddresses.size())));
    }

    private void sendReports() {
        ImmutableMap<String, KeyedRequestStats.Report> reports = mKeyedRequestStats.takeReports();
        if (mCoordinator.isActing()) {
            reports.forEach(mCoordinator::onReport);
            return;
        }
        Optional<CoordinatorRecord> coordinator = mCoordinator.presentCoordinator();
        if (reports.isEmpty() || coordinator.isEmpty()) {
            return;
        }
        Address address = Address.of(coordinator.get().peerAddress());
        String body = KeyedRequestStats.encode(reports).toString();
        mClient.call(address, HttpCall.of("POST", WORK_PATH, body), CALL_TIMEOUT)
                .exceptionally(
                        error -> {
                            mLog.write(
                                    Part.PEER,
                                    "Report to the coordinator failed",
                                    "coordinator",
                                    coordinator.get().daemon(),
                                    "cause",
                                    error.getMessage());
                            return null;
                        });
    }

    /** Returns what answers the calls of peers, by method and path. */
    private ImmutableMap<String, PeerCall> createCalls() {
        return ImmutableMap.<String, PeerCall>builder()
                .put("POST " + WORK_PATH, notice(this::onWorkReport))
                .put(
                        "POST " + TableExchange.TABLE_PATH,
                        notice(call -> mTableExchange.onTableChanges(DeflatedJson.decode(call))))
                .put(
                        "POST " + TableExchange.GRANTED_PATH,
                        notice(call -> mTableExchange.onGrants(DeflatedJson.decode(call))))
                .put(
                        "POST " + CopyNotices.PATH,
                        notice(call -> mCopyNotices.onNotice(DeflatedJson.decode(call))))
                .put(
                        "POST " + ReachInquiry.NOMINATION_PATH,
                        notice(call -> mCoordinator.onNominated()))
                .put("POST " + CrashReporter.PATH, query(this::crashReportReply))
                .put(
                        "POST " + ProbationTrials.PATH,
                        query(call -> mProbationTrials.answer(MAPPER.readTree(call.body()))))
                .put("POST " + LeavingReporter.PATH, query(mLeavingReporter::reply))
                .put("POST " + LimitPermits.PATH, query(mDispatcher.limitPermits()::reply))
                .put("POST " + LimitPermits.END_PATH, query(mDispatcher.limitPermits()::replyToEnd))
                .put("POST " + ReachInquiry.PATH, mReachInquiry::reply)
                .put("GET " + HoldInquiry.PATH, query(mHoldInquiry::reply))
                .put("GET " + RelayEndpoint.PATH, mRelayEndpoint::answer)
                .put("GET " + FleetStatus.PATH, query(mFleet::statusReply))
                .put(
                        "GET " + TableExchange.TABLES_PATH,
                        query(call -> mTableExchange.tablesReply()))
                .put("GET " + CopyExchange.PATH, query(mCopyExchange::copiesReply))
                .put("GET " + CopyExchange.KIND_PATH, query(mCopyExchange::copyReply))
                .buildOrThrow();
    }

    /** Returns a call that is processed and then answered without content. */
    private static PeerCall notice(Notice notice) {
        return (call, responder) -> {
            notice.process(call);
            responder.reply(HttpReply.of(200, "{}"));
        };
    }

    private static PeerCall query(Query query) {
        return (call, responder) -> responder.reply(query.reply(call));
    }

    private void handle(HttpCall call, Responder responder) {
        boolean asksForKind = call.path().startsWith(CopyExchange.KIND_PATH);
        String path = asksForKind ? CopyExchange.KIND_PATH : call.path();
        PeerCall peerCall = mCalls.get(call.method() + " " + path);
        if (peerCall == null) {
            responder.reply(HttpReply.of(404, "{}"));
            return;
        }
        try {
            peerCall.answer(call, responder);
        } catch (IOException | RuntimeException e) {
            mLog.write(
                    Part.PEER, "Cannot decode a call from a peer", "uri", call.uri(), "reason", e);
            responder.reply(HttpReply.of(400, "{}"));
        }
    }

    private void onWorkReport(HttpCall call) throws IOException {
        KeyedRequestStats.decode(MAPPER.readTree(call.body())).forEach(mCoordinator::onReport);
    }

    private HttpReply crashReportReply(HttpCall call) {
        boolean accepted = mCrashReporter.onReport(DeflatedJson.decode(call));
        return HttpReply.of(accepted ? 200 : 503, "{}");
    }

    @Override
    public void close() {
        mServer.close();
    }
}
