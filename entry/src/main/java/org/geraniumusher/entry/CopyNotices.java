package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.StoreVersion;
import org.geraniumusher.relay.Feeders;
import org.geraniumusher.traffic.RouterConfig;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Tells other daemons which copies of the store's objects are current, so that their watches can
 * wait for long and they still find out within seconds that one of them hangs. Tells them also
 * which servers have a limit. Confined to the event loop.
 *
 * <p>The coordinator tells the others, in large fleets through feeders ({@link
 * Feeders#copyReceivers}). Invariant: a daemon passes on how long ago the store answered, and not
 * when it heard so; the coordinator relies on the store alone.
 */
final class CopyNotices {
    /** Path to which a daemon posts the state of its copies. */
    static final String PATH = "/copies";

    /** Shortest time between two notices; several kinds are often confirmed at the same time. */
    private static final long MIN_INTERVAL_NANOS = 200_000_000L;

    /** Field with the address of the sender; peers of earlier releases leave it out. */
    private static final String SENDER = "sender";

    private static final String EPOCH = "epoch";
    private static final String CONFIGURATION_VERSION = "configuration_version";

    /** Field with the revision, the digest and the age in ms of the copy of each kind. */
    private static final String COPIES = "copies";

    /** Field with the limits of servers that the sender knows. */
    private static final String LIMITS = "limits";

    private final EntrySettings mSettings;
    private final Directory mDirectory;
    private final StoreEpoch mEpoch;
    private final CoordinatorService mCoordinator;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final PeerNotices mNotices;
    private final LimitPermits mLimitPermits;
    private final Consumer<Address> mSenderListener;
    private boolean mUsesFeeders;

    /** The daemons that this one tells, as the coordinator and otherwise. */
    private ImmutableList<Address> mReceiversAsCoordinator = ImmutableList.of();

    private ImmutableList<Address> mReceivers = ImmutableList.of();
    private boolean mSendScheduled;
    private long mNextSendNanos;
    private long mPeerConfigurationVersion = -1;

    /**
     * Creates notices that are sent once there are members.
     *
     * @param senderListener gets the address of each daemon that sends a notice
     */
    CopyNotices(
            DaemonContext context,
            CoordinatorService coordinator,
            HttpClient client,
            LimitPermits limitPermits,
            Consumer<Address> senderListener) {
        mSettings = context.settings();
        mDirectory = context.directory();
        mEpoch = context.store().epoch();
        mCoordinator = checkNotNull(coordinator);
        mThread = context.thread();
        mClock = context.clock();
        mNotices = new PeerNotices(client, mThread, mClock, context.metrics());
        mNextSendNanos = mClock.getAsLong();
        mLimitPermits = checkNotNull(limitPermits);
        mSenderListener = checkNotNull(senderListener);
        mDirectory.setConfirmationListener(this::onConfirmed);
        mLimitPermits.setBegunListener(this::sendSoon);
    }

    /** Sets the daemons of the fleet. */
    void setMembers(List<Feeders.Member> members) {
        mUsesFeeders = Feeders.usesFeeders(members);
        mReceiversAsCoordinator = receivers(members, true);
        mReceivers = receivers(members, false);
    }

    /** Returns the version of the configuration at the daemon that last told so, or -1. */
    long peerConfigurationVersion() {
        return mPeerConfigurationVersion;
    }

    private ImmutableList<Address> receivers(List<Feeders.Member> members, boolean isCoordinator) {
        return Feeders.copyReceivers(
                        members, mSettings.name(), mSettings.dataCentre(), isCoordinator)
                .stream()
                .map(Feeders.Member::peerAddress)
                .collect(ImmutableList.toImmutableList());
    }

    private ImmutableList<Address> receivers() {
        return mCoordinator.isActing() ? mReceiversAsCoordinator : mReceivers;
    }

    /**
     * Sends the state of all copies when that of a kind with a short bound is new. In large fleets
     * daemons do not depend on peers for the entries of servers: feeders watch these themselves,
     * and followers ask feeders.
     */
    private void onConfirmed(StoreKind kind) {
        boolean isAwaited =
                kind == StoreKind.CONFIGURATION || kind == StoreKind.SERVERS && !mUsesFeeders;
        if (isAwaited) {
            sendSoon();
        }
    }

    private void sendSoon() {
        if (!mSendScheduled && !receivers().isEmpty()) {
            mSendScheduled = true;
            long waitNanos = Math.max(0, mNextSendNanos - mClock.getAsLong());
            mThread.schedule(this::send, waitNanos, TimeUnit.NANOSECONDS);
        }
    }

    private void send() {
        mSendScheduled = false;
        mNextSendNanos = mClock.getAsLong() + MIN_INTERVAL_NANOS;
        mNotices.sendLatest(receivers(), COPIES, this::encode);
    }

    private HttpCall encode() {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put(SENDER, mSettings.peerAddress().toString());
        body.put(EPOCH, mEpoch.current());
        body.put(CONFIGURATION_VERSION, configurationVersion());
        ObjectNode copies = body.putObject(COPIES);
        for (KindMirror mirror : mDirectory.mirrors()) {
            OptionalLong ageNanos = mirror.copyAgeNanos(mClock.getAsLong());
            if (ageNanos.isPresent() && mirror.version().epoch() == mEpoch.current()) {
                copies.putArray(mirror.kind().name())
                        .add(mirror.revision())
                        .add(mirror.digest())
                        .add(TimeUnit.NANOSECONDS.toMillis(ageNanos.getAsLong()));
            }
        }
        body.set(LIMITS, mLimitPermits.encodeLimits());
        return HttpCall.of("POST", PATH, body.toString());
    }

    private long configurationVersion() {
        return mDirectory.configuration().map(RouterConfig::version).orElse(-1L);
    }

    /** Compares the copies of this daemon with those that a peer describes. */
    void onNotice(JsonNode body) {
        mLimitPermits.onLimits(body.path(LIMITS));
        long epoch = body.path(EPOCH).asLong();
        if (!mEpoch.observe(epoch) || mCoordinator.isActing()) {
            return;
        }
        if (body.has(SENDER)) {
            mSenderListener.accept(Address.of(body.path(SENDER).asText()));
        }
        mPeerConfigurationVersion = body.path(CONFIGURATION_VERSION).asLong(-1);
        for (KindMirror mirror : mDirectory.mirrors()) {
            JsonNode copy = body.path(COPIES).path(mirror.kind().name());
            if (copy.isArray()) {
                mirror.onPeerCopy(
                        new StoreVersion(epoch, copy.path(0).asLong()),
                        copy.path(1).asLong(),
                        TimeUnit.MILLISECONDS.toNanos(copy.path(2).asLong()));
            }
        }
    }
}
