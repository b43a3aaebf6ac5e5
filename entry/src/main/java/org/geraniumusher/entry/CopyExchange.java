package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.StoreVersion;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Copies objects of the store from peers while the store may not answer this daemon, and answers
 * the peers that copy from it. Confined to the event loop.
 *
 * <p>Invariants: nothing is sent while the store shows that all copies are current. A peer that has
 * not answered is not asked again before its call has failed, and holds up no other.
 */
final class CopyExchange {
    /** Path at which peers ask for all kinds at once, each with the version that they have. */
    static final String PATH = "/objects";

    /** Prefix of the paths at which peers of earlier releases ask for one kind, which follows. */
    static final String KIND_PATH = PATH + "/";

    /** Time after which a call to a peer counts as failed. */
    static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    /**
     * Number of peers that are asked in a round. Where most daemons are without the store, most
     * peers are as far behind.
     */
    static final int PEERS_PER_ROUND = 3;

    /** Pause between two rounds of calls while a copy is in doubt. */
    private static final long ROUND_INTERVAL_MILLIS = 250;

    /** Number of rounds in a row without news after which the pauses are longer. */
    private static final int MAX_BRISK_ROUNDS = 8;

    /** Pause after these: the store is probably away for all, and each call costs its peers. */
    private static final long QUIET_INTERVAL_MILLIS = 1_000;

    private static final int NOT_FOUND = 404;

    private static final String EPOCH = "epoch";
    private static final String REVISION = "revision";
    private static final String SETTLED = "settled";
    private static final String DIGEST = "digest";
    private static final String AGE_MILLIS = "age_ms";
    private static final String OBJECTS = "objects";

    private final Directory mDirectory;
    private final StoreEpoch mEpoch;
    private final WireFormat mWire;
    private final PeerClient mClient;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private final Supplier<ImmutableList<Address>> mPeerAddresses;
    private final Random mRandom;

    /** Peers with a call in flight. */
    private final Set<Address> mAsked = new HashSet<>();

    /** The peer that last told something new, unless it has failed since. */
    private Optional<Address> mInformedPeer = Optional.empty();

    private boolean mRoundScheduled;

    /** Number of rounds since a peer told something new, or since the first copy was in doubt. */
    private int mRoundsWithoutNews;

    /** Sends a call to a peer, which fails after {@link #CALL_TIMEOUT}. */
    interface PeerClient {
        CompletableFuture<HttpReply> call(Address peer, HttpCall call);
    }

    /** The version of a copy that a peer has, and whether that copy is settled. */
    private record KnownCopy(StoreVersion version, boolean settled) {
        private static final Splitter FIELDS = Splitter.on('.').limit(3);

        static KnownCopy of(KindMirror mirror) {
            return new KnownCopy(mirror.version(), mirror.isCopySettled());
        }

        /** Decodes the value of a query parameter. */
        static KnownCopy parse(String value) {
            List<String> fields = FIELDS.splitToList(value);
            StoreVersion version =
                    new StoreVersion(Long.parseLong(fields.get(0)), Long.parseLong(fields.get(1)));
            return new KnownCopy(version, Boolean.parseBoolean(fields.get(2)));
        }

        @Override
        public String toString() {
            return version.epoch() + "." + version.revision() + "." + settled;
        }
    }

    /**
     * Creates an exchange that asks peers from {@link #wake} on.
     *
     * @param peerAddresses returns the addresses of the other daemons, some of which may be gone
     */
    CopyExchange(
            DaemonContext context,
            WireFormat wire,
            PeerClient client,
            Supplier<ImmutableList<Address>> peerAddresses,
            Random random) {
        mDirectory = context.directory();
        mEpoch = context.store().epoch();
        mThread = context.thread();
        mClock = context.clock();
        mLog = context.log();
        mMetrics = context.metrics();
        mWire = checkNotNull(wire);
        mClient = checkNotNull(client);
        mPeerAddresses = checkNotNull(peerAddresses);
        mRandom = checkNotNull(random);
        mDirectory.setDoubtListener(this::wake);
    }

    /** Asks peers if a copy is in doubt, and goes on until none is. */
    void wake() {
        if (!mRoundScheduled) {
            round();
        }
    }

    private void round() {
        mRoundScheduled = false;
        ImmutableList<KindMirror> mirrors = mDirectory.mirrorsToCopy();
        if (mirrors.isEmpty()) {
            mRoundsWithoutNews = 0;
            return;
        }
        for (Address peer : pickPeers()) {
            ask(peer, mirrors);
        }
        mRoundScheduled = true;
        boolean isBrisk = ++mRoundsWithoutNews <= MAX_BRISK_ROUNDS;
        mThread.schedule(
                this::round,
                isBrisk ? ROUND_INTERVAL_MILLIS : QUIET_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the peer that last told something new, and random ones, of those without a call. */
    private List<Address> pickPeers() {
        List<Address> idle = new ArrayList<>(mPeerAddresses.get());
        idle.removeAll(mAsked);
        Collections.shuffle(idle, mRandom);
        if (mInformedPeer.isPresent() && idle.remove(mInformedPeer.get())) {
            idle.add(0, mInformedPeer.get());
        }
        return idle.subList(0, Math.min(PEERS_PER_ROUND, idle.size()));
    }

    /** Records that a peer says that its copies are current, and so can be asked first. */
    void onInformedPeer(Address peer) {
        mInformedPeer = Optional.of(peer);
    }

    private void ask(Address peer, List<KindMirror> mirrors) {
        String query =
                mirrors.stream()
                        .map(m -> m.kind().name() + "=" + KnownCopy.of(m))
                        .collect(Collectors.joining("&"));
        call(
                peer,
                PATH + "?" + query,
                (reply, sentNanos) -> {
                    if (reply.status() == NOT_FOUND) {
                        mirrors.forEach(mirror -> askForKind(peer, mirror));
                    } else if (reply.status() == 200) {
                        onCopies(peer, DeflatedJson.decode(reply), sentNanos);
                    }
                });
    }

    /** Asks a peer of an earlier release for one kind. */
    private void askForKind(Address peer, KindMirror mirror) {
        StoreVersion version = mirror.version();
        String uri =
                String.format(
                        "%s%s?newer_than=%d&epoch=%d&settled=%s",
                        KIND_PATH,
                        mirror.kind().name(),
                        version.revision(),
                        version.epoch(),
                        mirror.isCopySettled());
        call(
                peer,
                uri,
                (reply, sentNanos) -> {
                    if (reply.status() == 200) {
                        onCopy(peer, mirror, DeflatedJson.decode(reply), sentNanos);
                    }
                });
    }

    /** Processes the reply to a call. */
    private interface ReplyListener {
        void onReply(HttpReply reply, long sentNanos);
    }

    private void call(Address peer, String uri, ReplyListener listener) {
        long sentNanos = mClock.getAsLong();
        mAsked.add(peer);
        mClient.call(peer, HttpCall.of("GET", uri))
                .whenComplete(
                        (reply, error) ->
                                mThread.execute(
                                        () -> onResult(peer, reply, error, sentNanos, listener)));
    }

    private void onResult(
            Address peer,
            HttpReply reply,
            Throwable error,
            long sentNanos,
            ReplyListener listener) {
        mAsked.remove(peer);
        if (error != null) {
            mMetrics.onCopyAsked("failed");
            mInformedPeer = mInformedPeer.filter(p -> !p.equals(peer));
            return;
        }
        try {
            listener.onReply(reply, sentNanos);
        } catch (RuntimeException e) {
            mLog.write(
                    Part.PEER,
                    "Cannot decode objects copied from a peer",
                    "peer",
                    peer,
                    "reason",
                    e.getMessage());
        }
    }

    private void onCopies(Address peer, JsonNode copies, long sentNanos) {
        for (Map.Entry<String, JsonNode> copy : copies.properties()) {
            KindMirror mirror = mDirectory.mirror(StoreKind.valueOf(copy.getKey()));
            onCopy(peer, mirror, copy.getValue(), sentNanos);
        }
    }

    private void onCopy(Address peer, KindMirror mirror, JsonNode copy, long sentNanos) {
        StoreVersion version =
                new StoreVersion(copy.path(EPOCH).asLong(), copy.path(REVISION).asLong(-1));
        if (!mEpoch.observe(version.epoch())) {
            return;
        }
        boolean isNewer = copy.has(OBJECTS);
        mMetrics.onCopyAsked(isNewer ? "newer" : "not_newer");
        OptionalLong ageNanos = decodeAge(copy, sentNanos);
        boolean isNews =
                isNewer
                        ? mirror.adoptPeerCopy(
                                new PeerCopy(
                                        peer,
                                        version,
                                        copy.path(SETTLED).asBoolean(),
                                        ageNanos,
                                        decodeObjects(copy)))
                        : ageNanos.isPresent()
                                && mirror.onEqualCopy(
                                        version, copy.path(DIGEST).asLong(), ageNanos.getAsLong());
        if (isNews) {
            mRoundsWithoutNews = 0;
            onInformedPeer(peer);
        }
    }

    private ImmutableMap<String, StoreObject> decodeObjects(JsonNode copy) {
        ImmutableMap.Builder<String, StoreObject> objects = ImmutableMap.builder();
        for (JsonNode content : copy.path(OBJECTS)) {
            StoreObject object = mWire.decodeObject(content);
            objects.put(object.name(), object);
        }
        return objects.buildKeepingLast();
    }

    /**
     * Returns the time for which a copy has not been known to be current, or empty if its sender
     * does not know it or does not say so. The call counts as part of that time.
     */
    private OptionalLong decodeAge(JsonNode copy, long sentNanos) {
        return copy.has(AGE_MILLIS)
                ? OptionalLong.of(
                        TimeUnit.MILLISECONDS.toNanos(copy.path(AGE_MILLIS).asLong())
                                + mClock.getAsLong()
                                - sentNanos)
                : OptionalLong.empty();
    }

    /** Returns the reply to a peer that asks for the copies of some kinds. */
    HttpReply copiesReply(HttpCall call) {
        ObjectNode copies = JsonNodeFactory.instance.objectNode();
        for (KindMirror mirror : mDirectory.mirrors()) {
            Optional<KnownCopy> known = call.query(mirror.kind().name()).map(KnownCopy::parse);
            if (known.isPresent() && mirror.hasState()) {
                mEpoch.observe(known.get().version().epoch());
                copies.set(mirror.kind().name(), encode(mirror, known.get()));
            }
        }
        return DeflatedJson.encode(HttpReply.of(200, copies.toString()));
    }

    /** Returns the reply to a peer of an earlier release, with status 204 if it needs no copy. */
    HttpReply copyReply(HttpCall call) {
        StoreKind kind = StoreKind.valueOf(call.path().substring(KIND_PATH.length()));
        KindMirror mirror = mDirectory.mirror(kind);
        KnownCopy known =
                new KnownCopy(
                        new StoreVersion(
                                Long.parseLong(call.query(EPOCH).orElse("0")),
                                Long.parseLong(call.query("newer_than").orElse("-1"))),
                        Boolean.parseBoolean(call.query(SETTLED).orElse("true")));
        mEpoch.observe(known.version().epoch());
        return mirror != null && isUseful(mirror, known)
                ? HttpReply.of(200, encode(mirror, known).toString())
                : HttpReply.of(204, "");
    }

    private boolean isSettled(KindMirror mirror) {
        return mirror.isCopySettled() && !mDirectory.isSoonAfterRestore();
    }

    /** Returns whether a copy is newer than the one that a peer has, or settles it. */
    private boolean isUseful(KindMirror mirror, KnownCopy known) {
        boolean settles =
                isSettled(mirror) && !known.settled() && mirror.version().equals(known.version());
        return mirror.version().isAfter(known.version()) || settles;
    }

    private ObjectNode encode(KindMirror mirror, KnownCopy known) {
        ObjectNode copy = JsonNodeFactory.instance.objectNode();
        copy.put(EPOCH, mirror.version().epoch());
        copy.put(REVISION, mirror.version().revision());
        copy.put(SETTLED, isSettled(mirror));
        copy.put(DIGEST, mirror.digest());
        mirror.copyAgeNanos(mClock.getAsLong())
                .ifPresent(age -> copy.put(AGE_MILLIS, TimeUnit.NANOSECONDS.toMillis(age)));
        if (isUseful(mirror, known)) {
            ArrayNode objects = copy.putArray(OBJECTS);
            mirror.objects().values().forEach(object -> objects.add(object.content()));
        }
        return copy;
    }
}
