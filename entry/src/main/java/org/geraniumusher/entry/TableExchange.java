package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.NextOwner;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.StoreVersion;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Sends key range tables and grants from the coordinator to the other daemons, and processes those
 * that another coordinator sent. Confined to the event loop.
 */
final class TableExchange implements RangeCoordinatorDriver.Publisher {
    /** Path to which the coordinator posts the changes of a table. */
    static final String TABLE_PATH = "/table";

    /** Path at which a daemon serves all tables that it knows. */
    static final String TABLES_PATH = "/tables";

    /** Path to which the coordinator posts grants that no table shows yet, and next owners. */
    static final String GRANTED_PATH = "/granted";

    /** Optional field: first key, fence and milliseconds until the next owner of each range. */
    private static final String NEXT_OWNERS = "next_owners";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    private final RangeTableCache mTables;
    private final StoreEpoch mEpoch;
    private final Address mSelf;
    private final Supplier<List<Address>> mPeerAddresses;
    private final HttpClient mClient;
    private final PeerNotices mNotices;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;

    /** Newest versions, by service, of which a change could not be applied. */
    private final Map<String, StoreVersion> mMissedVersions = new HashMap<>();

    private boolean mFetchInFlight;

    /** The peer to fetch tables from after the fetch in flight, if that brings too old ones. */
    private Optional<Address> mNextFetch = Optional.empty();

    TableExchange(DaemonContext context, Supplier<List<Address>> peerAddresses, HttpClient client) {
        mTables = context.directory().tables();
        mEpoch = context.store().epoch();
        mSelf = context.settings().peerAddress();
        mThread = context.thread();
        mClock = context.clock();
        mLog = context.log();
        mPeerAddresses = checkNotNull(peerAddresses);
        mClient = checkNotNull(client);
        mNotices = new PeerNotices(client, context.thread(), mClock, context.metrics());
    }

    /** Updates the table of this daemon and sends the changed assignments to all others. */
    @Override
    public void publish(String service, Optional<RangeTable> previous, RangeTable next) {
        mTables.updateIfNewer(service, next, true);
        ObjectNode body =
                RangeTableCodec.encode(
                        next.version().epoch(),
                        previous.map(p -> RangeTableCache.changedAssignments(p, next))
                                .orElse(next.assignments()));
        body.put("service", service);
        StoreVersion base = previous.map(RangeTable::version).orElse(StoreVersion.NONE);
        body.put("base", base.revision());
        body.put("base_epoch", base.epoch());
        body.put("revision", next.version().revision());
        body.put("sender", mSelf.toString());
        mNotices.send(mPeerAddresses.get(), notice(TABLE_PATH, body));
    }

    @Override
    public void publishGranted(String service, List<Assignment> granted) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("service", service);
        ArrayNode grants = body.putArray("granted");
        for (Assignment a : granted) {
            grants.addArray().add(a.range().first()).add(a.fence());
        }
        granted.forEach(a -> mTables.addGrant(service, a.range().first(), a.fence()));
        sendLatest("granted " + service, () -> body);
    }

    @Override
    public void publishNextOwners(String service, List<NextOwner> nextOwners) {
        mTables.setNextOwners(service, nextOwners);
        sendLatest("next owners " + service, () -> encodeNextOwners(service, nextOwners));
    }

    /** Encodes the time until each next owner as of now, since daemons do not compare clocks. */
    private ObjectNode encodeNextOwners(String service, List<NextOwner> nextOwners) {
        long now = mClock.getAsLong();
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("service", service);
        ArrayNode encoded = body.putArray(NEXT_OWNERS);
        for (NextOwner o : nextOwners) {
            encoded.addArray()
                    .add(o.firstKey())
                    .add(o.fence())
                    .add(TimeUnit.NANOSECONDS.toMillis(o.notBefore() - now));
        }
        return body;
    }

    /**
     * Sends the present state of a topic to the other daemons. One that misses it learns of it from
     * the next notice or reads the table in its next poll.
     */
    private void sendLatest(String topic, Supplier<ObjectNode> body) {
        mNotices.sendLatest(mPeerAddresses.get(), topic, () -> notice(GRANTED_PATH, body.get()));
    }

    private static HttpCall notice(String path, ObjectNode body) {
        return DeflatedJson.encode(HttpCall.of("POST", path, body.toString()));
    }

    /**
     * Applies the changes of a table that a coordinator sent. Fetches all tables from the sender if
     * the changes do not follow the known revision.
     */
    void onTableChanges(JsonNode body) {
        StoreVersion version =
                new StoreVersion(body.path("epoch").asLong(), body.path("revision").asLong());
        mEpoch.observe(version.epoch());
        String service = body.path("service").asText();
        boolean applied =
                mTables.applyChanges(
                        service,
                        new StoreVersion(
                                body.path("base_epoch").asLong(), body.path("base").asLong()),
                        version,
                        RangeTableCodec.decodeAssignments(body));
        if (!applied) {
            mMissedVersions.put(service, version);
            fetchTables(Address.of(body.path("sender").asText()));
        }
    }

    /**
     * Adds grants that the coordinator has not yet written into a table, and replaces the times of
     * next owners if the call has any.
     */
    void onGrants(JsonNode body) {
        String service = body.path("service").asText();
        for (JsonNode grant : body.path("granted")) {
            mTables.addGrant(service, grant.path(0).asInt(), grant.path(1).asLong());
        }
        if (body.path(NEXT_OWNERS).isArray()) {
            mTables.setNextOwners(service, decodeNextOwners(body.path(NEXT_OWNERS)));
        }
    }

    private List<NextOwner> decodeNextOwners(JsonNode encoded) {
        long now = mClock.getAsLong();
        List<NextOwner> nextOwners = new ArrayList<>();
        for (JsonNode o : encoded) {
            long waitNanos = TimeUnit.MILLISECONDS.toNanos(o.path(2).asLong());
            nextOwners.add(new NextOwner(o.path(0).asInt(), o.path(1).asLong(), now + waitNanos));
        }
        return nextOwners;
    }

    /**
     * Requests all tables that another daemon knows. A failed call is not repeated here. While a
     * call is in flight, another one is made only after it and only if it brings too old tables.
     */
    void fetchTables(Address peer) {
        if (mFetchInFlight) {
            mNextFetch = Optional.of(peer);
            return;
        }
        mFetchInFlight = true;
        mClient.call(peer, HttpCall.of("GET", TABLES_PATH), CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) -> mThread.execute(() -> onFetched(peer, reply, error)));
    }

    private void onFetched(Address peer, HttpReply reply, Throwable error) {
        mFetchInFlight = false;
        if (error == null && reply.status() == 200) {
            onTables(peer, reply);
        }
        mMissedVersions.entrySet().removeIf(e -> !isOlder(e.getKey(), e.getValue()));
        Optional<Address> next = mNextFetch;
        mNextFetch = Optional.empty();
        if (!mMissedVersions.isEmpty()) {
            next.ifPresent(this::fetchTables);
        }
    }

    /** Reports whether the table of a service is older than a version. */
    private boolean isOlder(String service, StoreVersion version) {
        return mTables.table(service).map(t -> version.isAfter(t.version())).orElse(true);
    }

    private void onTables(Address peer, HttpReply reply) {
        try {
            DeflatedJson.decode(reply)
                    .properties()
                    .forEach(
                            e ->
                                    mTables.updateIfNewer(
                                            e.getKey(),
                                            RangeTableCodec.decode(
                                                    e.getValue().path("revision").asLong(),
                                                    e.getValue()),
                                            false));
            mTables.setLoaded();
        } catch (IllegalArgumentException e) {
            mLog.write(
                    Part.PEER,
                    "Cannot decode key range tables from a peer",
                    "peer",
                    peer,
                    "reason",
                    e.getMessage());
        }
    }

    /**
     * Returns the reply to a daemon that requests all tables; its status is 204 until the tables
     * are loaded.
     */
    HttpReply tablesReply() {
        if (!mTables.isLoaded()) {
            return HttpReply.of(204, "");
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        mTables.tables()
                .forEach(
                        (service, table) -> {
                            StoreVersion version = table.version();
                            ObjectNode encoded =
                                    RangeTableCodec.encode(version.epoch(), table.assignments());
                            body.set(service, encoded.put("revision", version.revision()));
                        });
        return DeflatedJson.encode(HttpReply.of(200, body.toString()));
    }
}
