package org.geraniumusher.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
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
import org.geraniumusher.model.StoreVersion;
import org.geraniumusher.relay.Feeders;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Communicates with the other daemons: registers this daemon in the store and lists the others,
 * reports the requests and the leaving servers of keyed services to the coordinator, answers the
 * calls of peers, and copies store objects from a peer while the store is unreachable. Confined to
 * the event loop.
 */
final class PeerService implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Path to which daemons post the requests of keyed services. */
    private static final String WORK_PATH = "/work";

    /** Prefix of the paths of copies; the kind of the objects follows. */
    private static final String OBJECTS_PATH = "/objects/";

    private static final String AGE_MILLIS = "age_ms";
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
    private static final long TICK_INTERVAL_MILLIS = 500;
    private static final long REPORT_INTERVAL_NANOS = 500_000_000L;
    private static final long LIST_INTERVAL_NANOS = 5_000_000_000L;

    /** When all daemons start at once, they register within this time after the start. */
    private static final long STARTUP_NANOS = 4_000_000_000L;

    /** Interval between lists of the daemons during {@link #STARTUP_NANOS}. */
    private static final long STARTUP_LIST_INTERVAL_NANOS = 1_000_000_000L;

    /**
     * Time without an answer of the store after which objects are copied from a peer; a watch that
     * ended is restarted sooner if the store is reachable.
     */
    private static final long STORE_OUTAGE_NANOS = 400_000_000L;

    private final EntrySettings mSettings;
    private final long mIncarnation;
    private final Directory mDirectory;
    private final Store mStore;
    private final WireFormat mWire;
    private final CoordinatorService mCoordinator;
    private final Dispatcher mDispatcher;
    private final KeyedRequestStats mKeyedRequestStats;
    private final FleetStatus mFleet;
    private final RelayedStore mRelayedStore;
    private final RelayEndpoint mRelayEndpoint;
    private final TableExchange mTableExchange;
    private final CopyNotices mCopyNotices;
    private final CrashReporter mCrashReporter;
    private final ProbationTrials mProbationTrials;
    private final LeavingReporter mLeavingReporter;
    private final ReachInquiry mReachInquiry;
    private final HoldInquiry mHoldInquiry;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
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
        mMetrics = context.metrics();
        mWire = wire;
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
        mCopyNotices = new CopyNotices(context, coordinator, client, dispatcher.limitPermits());
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
        for (KindMirror mirror : mDirectory.mirrors()) {
            if (!mirror.isReachable()
                    && now - mirror.unreachableSinceNanos() > STORE_OUTAGE_NANOS) {
                copyFromRandomPeer(mirror);
            }
        }
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

    private void copyFromRandomPeer(KindMirror mirror) {
        randomPeer().ifPresent(peer -> copyFrom(peer, mirror));
    }

    private void copyFrom(Address peer, KindMirror mirror) {
        HttpCall call =
                HttpCall.of(
                        "GET",
                        OBJECTS_PATH
                                + mirror.kind()
                                + "?newer_than="
                                + mirror.version().revision()
                                + "&epoch="
                                + mirror.version().epoch()
                                + "&settled="
                                + mirror.isCopySettled());
        mClient.call(peer, call, CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) -> {
                            mMetrics.onCopyAsked(copyResult(reply, error));
                            if (error == null && reply.status() == 200) {
                                mThread.execute(() -> onObjects(mirror, peer, reply));
                            }
                        });
    }

    private static String copyResult(HttpReply reply, Throwable error) {
        if (error != null) {
            return "failed";
        }
        return reply.status() == 200 ? "newer" : "not_newer";
    }

    private void onObjects(KindMirror mirror, Address peer, HttpReply reply) {
        try {
            JsonNode copy = MAPPER.readTree(reply.body());
            ImmutableMap.Builder<String, StoreObject> objects = ImmutableMap.builder();
            for (JsonNode content : copy.path("objects")) {
                StoreObject object = mWire.decodeObject(content);
                objects.put(object.name(), object);
            }
            StoreVersion version =
                    new StoreVersion(copy.path("epoch").asLong(), copy.path("revision").asLong(-1));
            if (mStore.epoch().observe(version.epoch())) {
                mirror.adoptPeerCopy(
                        new PeerCopy(
                                peer,
                                version,
                                copy.path("settled").asBoolean(),
                                decodeAge(copy),
                                objects.buildKeepingLast()));
            }
        } catch (IOException | RuntimeException e) {
            mLog.write(
                    Part.PEER,
                    "Cannot decode objects copied from a peer",
                    "peer",
                    peer,
                    "reason",
                    e.getMessage());
        }
    }

    /** Returns the age of a copy, or empty if its sender does not know it or does not say so. */
    private static OptionalLong decodeAge(JsonNode copy) {
        return copy.has(AGE_MILLIS)
                ? OptionalLong.of(TimeUnit.MILLISECONDS.toNanos(copy.path(AGE_MILLIS).asLong()))
                : OptionalLong.empty();
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
                .put("GET " + OBJECTS_PATH, query(this::copyReply))
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
        String path = call.path().startsWith(OBJECTS_PATH) ? OBJECTS_PATH : call.path();
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

    private HttpReply copyReply(HttpCall call) throws JsonProcessingException {
        StoreKind kind = StoreKind.valueOf(call.path().substring(OBJECTS_PATH.length()));
        KindMirror mirror = mDirectory.mirror(kind);
        StoreVersion known =
                new StoreVersion(
                        Long.parseLong(call.query("epoch").orElse("0")),
                        Long.parseLong(call.query("newer_than").orElse("-1")));
        mStore.epoch().observe(known.epoch());
        if (mirror == null) {
            return HttpReply.of(204, "");
        }
        boolean settled = mirror.isCopySettled() && !mDirectory.isSoonAfterRestore();
        boolean settles =
                settled
                        && !Boolean.parseBoolean(call.query("settled").orElse("true"))
                        && mirror.version().equals(known);
        if (!mirror.version().isAfter(known) && !settles) {
            return HttpReply.of(204, "");
        }
        ObjectNode copy = JsonNodeFactory.instance.objectNode();
        copy.put("epoch", mirror.version().epoch());
        copy.put("revision", mirror.version().revision());
        copy.put("settled", settled);
        mirror.copyAgeNanos(mClock.getAsLong())
                .ifPresent(age -> copy.put(AGE_MILLIS, TimeUnit.NANOSECONDS.toMillis(age)));
        ArrayNode objects = copy.putArray("objects");
        mirror.objects().values().forEach(object -> objects.add(object.content()));
        return new HttpReply(200, MAPPER.writeValueAsBytes(copy));
    }

    @Override
    public void close() {
        mServer.close();
    }
}
