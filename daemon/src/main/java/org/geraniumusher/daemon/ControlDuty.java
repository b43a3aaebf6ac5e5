package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;

import org.geraniumusher.backend.GrantClient;
import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.dissemination.Change;
import org.geraniumusher.dissemination.Disseminator;
import org.geraniumusher.dissemination.SyncCommand;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.DetectorSettings;
import org.geraniumusher.membership.FailureDetector;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberState;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.membership.MembershipCommand;
import org.geraniumusher.membership.MembershipMessage;
import org.geraniumusher.membership.Rendezvous;
import org.geraniumusher.membership.Seed;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.operator.ServiceLevels;
import org.geraniumusher.ownership.AuthorityAck;
import org.geraniumusher.ownership.AuthorityRequest;
import org.geraniumusher.ownership.LiveMember;
import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.ownership.VersionedState;
import org.geraniumusher.peer.AuthorityMessage;
import org.geraniumusher.peer.ChangeReader;
import org.geraniumusher.peer.PeerHandler;
import org.geraniumusher.peer.PeerTransport;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoreWatch;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WatchEvent;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs membership, dissemination and ownership on the thread of the duty control.
 *
 * <p>All decision state is confined to that thread. The methods of {@link PeerHandler}, {@link
 * StoreWatch.Listener} and {@link #onAccepted} are called by other threads and hand over through
 * the ring of the duty; what does not fit is dropped, as every protocol here repeats what matters.
 */
final class ControlDuty
        implements PeerHandler, StoreWatch.Listener, OwnershipRunner.Ports, AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(25);
    private static final long SEED_PERIOD_NANOS = Duration.ofSeconds(2).toNanos();
    private static final long SNAPSHOT_PERIOD_NANOS = Duration.ofMillis(100).toNanos();
    private static final long IDLE_SNAPSHOT_PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long ASKED_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int LOG_INTERVAL_SECONDS = 10;

    private final Settings mSettings;
    private final Member mSelf;
    private final LongSupplier mClock;
    private final PeerTransport mTransport;
    private final Consumers mConsumers;
    private final FailureDetector mDetector;
    private final Disseminator mDisseminator;
    private final ServiceLevels mLevels;
    private final BurnExchange mBurn;
    private final OwnershipRunner mOwnership;
    private final StoreWatchControl mWatch;
    private final TableConfirmations mConfirmations;
    private final AwaitedVersions mAwaited = new AwaitedVersions();
    private final Duty mDuty;
    private long mNextSeedNanos;
    private long mNextSnapshotNanos;
    private boolean mLeaving;

    /** Whether members or configuration changed since the role of a feeder was decided. */
    private boolean mRolesChanged = true;

    private Configuration mLogged = Configuration.of();
    private volatile long mAskedNanos;
    private volatile ControlSnapshot mSnapshot = ControlSnapshot.empty();

    ControlDuty(
            Settings settings,
            Member self,
            LongSupplier clock,
            PeerTransport transport,
            ObjectApi api,
            GrantClient grants,
            Consumers consumers,
            ServiceLevels levels,
            MetricRegistry metrics) {
        mSettings = checkNotNull(settings);
        mSelf = checkNotNull(self);
        mClock = checkNotNull(clock);
        mTransport = checkNotNull(transport);
        mConsumers = checkNotNull(consumers);
        mDetector = FailureDetector.create(self, DetectorSettings.DEFAULT, self.incarnation());
        mDisseminator = Disseminator.create(self);
        mLevels = checkNotNull(levels);
        mBurn = new BurnExchange(self, levels, transport::send);
        MemberId id = new MemberId(self.name(), self.incarnation());
        mOwnership =
                new OwnershipRunner(
                        new LiveMember(id, self.dataCentre()), clock, this, api, grants);
        mWatch = new StoreWatchControl(api, this);
        mConfirmations =
                new TableConfirmations(
                        new TableConfirmations.Ports(this::memberOf, transport::send, consumers));
        mDuty =
                Duty.start(
                        "control",
                        settings.limits().ringCapacity(),
                        TICK,
                        clock,
                        this::onTick,
                        metrics);
    }

    /** Starts to take messages. */
    void start() {
        mTransport.start(mSelf, this);
        run(this::onLiveChanged);
    }

    /**
     * Returns the last snapshot; never blocks. It is at most a second old, and a tenth of that once
     * somebody has asked, since making one takes 3 ms in a fleet of the target's size.
     */
    ControlSnapshot snapshot() {
        mAskedNanos = mClock.getAsLong();
        return mSnapshot;
    }

    /** Spreads a change that the store has just accepted from this daemon. */
    void onAccepted(WatchEvent event) {
        run(() -> ChangeReader.ofEvent(event).ifPresent(c -> sync(mDisseminator.onAccepted(c))));
    }

    /** Asks all daemons for their versions until they have {@code version} or time is up. */
    void await(long version) {
        run(
                () -> {
                    mAwaited.add(now(), version);
                    mDisseminator.onAwait(version);
                });
    }

    /** Tells the other daemons that this one leaves; its ownership duties go on until the end. */
    void leave() {
        run(
                () -> {
                    if (!mLeaving) {
                        mLeaving = true;
                        membership(mDetector.onLeave(now()));
                        onLiveChanged();
                    }
                });
    }

    /** Hands the counts of requests to the collectors; completes when they have been sent off. */
    CompletableFuture<Void> handOver() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        run(
                () -> {
                    mBurn.onStop();
                    done.complete(null);
                });
        return done;
    }

    @Override
    public void close() {
        mWatch.close();
        mDuty.close();
    }

    @Override
    public void onMembership(MembershipMessage message) {
        run(() -> membership(mDetector.onMessage(now(), message)));
    }

    @Override
    public void onVersions(Member from, Versions versions) {
        run(() -> sync(mDisseminator.onVersions(now(), from, versions)));
    }

    @Override
    public void onSync(Member from, SyncMessage message) {
        run(() -> sync(mDisseminator.onMessage(now(), from, message)));
    }

    @Override
    public void onAuthority(Member from, AuthorityMessage message) {
        String self = mSelf.name();
        if (message instanceof AuthorityMessage.AuthorityRequest request) {
            run(
                    () ->
                            mOwnership.onAuthorityRequest(
                                    AuthorityMessages.fromWire(from, self, request)));
        } else if (message instanceof AuthorityMessage.AuthorityAck ack) {
            run(() -> mOwnership.onAuthorityAck(AuthorityMessages.fromWire(from, self, ack)));
        } else if (message instanceof AuthorityMessage.TableConfirm confirm) {
            run(() -> mConfirmations.onMessage(now(), from, confirm, mOwnership.members()));
        }
    }

    @Override
    public void onBurnSummary(BurnSummary summary) {
        run(() -> mLevels.accept(summary));
    }

    @Override
    public void onSnapshot(ReadResult.Found snapshot) {
        run(
                () -> {
                    ImmutableList<Change> changes =
                            snapshot.objects().stream()
                                    .flatMap(object -> ChangeReader.ofObject(object).stream())
                                    .collect(ImmutableList.toImmutableList());
                    sync(mDisseminator.onListed(snapshot.version(), changes));
                    snapshot.objects().forEach(this::onShardObject);
                });
    }

    @Override
    public void onEvent(WatchEvent event) {
        run(
                () -> {
                    ChangeReader.ofEvent(event)
                            .ifPresent(change -> sync(mDisseminator.onWatched(change)));
                    if (event.type() == WatchEvent.Type.PUT) {
                        onShardObject(event.object());
                    }
                });
    }

    @Override
    public void run(Runnable task) {
        if (!mDuty.offer(task)) {
            LOG.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "daemon: ring of duty control is full, event dropped.");
        }
    }

    @Override
    public void send(AuthorityRequest request) {
        memberOf(request.to())
                .ifPresent(to -> mTransport.send(to, AuthorityMessages.toWire(request)));
    }

    @Override
    public void send(AuthorityAck ack) {
        memberOf(ack.to()).ifPresent(to -> mTransport.send(to, AuthorityMessages.toWire(ack)));
    }

    @Override
    public void onShardKnown(VersionedState state) {
        sync(mDisseminator.onShardWritten(state.version(), state.state()));
    }

    @Override
    public void onNewIncarnation(String server) {
        LOG.atInfo().log("ownership: backend server was restarted. server=%s", server);
        mConsumers.onNewIncarnation(server);
    }

    private long now() {
        return mClock.getAsLong();
    }

    private void onTick(long nowNanos) {
        membership(mDetector.onTick(nowNanos));
        sync(mDisseminator.onTick(nowNanos));
        mOwnership.onTick();
        mConfirmations.onTick(nowNanos, mOwnership.members());
        mBurn.onTick(nowNanos);
        if (mRolesChanged) {
            mRolesChanged = false;
            mWatch.setWanted(mDisseminator.isFeeder() && !mLeaving);
        }
        if (nowNanos - mNextSeedNanos >= 0) {
            mNextSeedNanos = nowNanos + SEED_PERIOD_NANOS;
            membership(mDetector.onSeeds(nowNanos, unknownSeeds()));
        }
        if (nowNanos - mNextSnapshotNanos >= 0) {
            boolean asked = nowNanos - mAskedNanos < ASKED_NANOS;
            mNextSnapshotNanos =
                    nowNanos + (asked ? SNAPSHOT_PERIOD_NANOS : IDLE_SNAPSHOT_PERIOD_NANOS);
            mAwaited.expired(nowNanos).forEach(mDisseminator::onAwaitEnded);
            mSnapshot =
                    ControlSnapshot.of(mDetector, mDisseminator, mOwnership, mBurn.collectors());
        }
        mTransport.setVersions(mDisseminator.versions());
    }

    private List<Seed> unknownSeeds() {
        ImmutableList.Builder<Seed> seeds = ImmutableList.builder();
        for (Address address : mSettings.seeds()) {
            boolean known =
                    address.equals(mSelf.peerAddress())
                            || mDetector.alive().stream()
                                    .anyMatch(m -> m.peerAddress().equals(address));
            if (!known) {
                seeds.add(new Seed("seed/" + address, address));
            }
        }
        return seeds.build();
    }

    private Optional<Member> memberOf(MemberId id) {
        return mDetector
                .find(id.name())
                .map(update -> update.member())
                .filter(member -> member.incarnation() == id.incarnation());
    }

    private void membership(List<MembershipCommand> commands) {
        boolean changed = false;
        for (MembershipCommand command : commands) {
            if (command instanceof MembershipCommand.Send send) {
                mTransport.send(send.to(), send.message());
            } else if (command instanceof MembershipCommand.Changed change) {
                changed = true;
                LOG.atInfo().log(
                        "membership: member changed. name=%s incarnation=%d state=%s reason=%s",
                        change.member().name(),
                        change.member().incarnation(),
                        change.state(),
                        change.reason());
            }
        }
        if (changed) {
            onLiveChanged();
        }
    }

    private void onLiveChanged() {
        mRolesChanged = true;
        ImmutableList<Member> alive = mDetector.alive();
        Rendezvous live = Rendezvous.of(alive);
        mDisseminator.onMembers(live, mDetector.live());
        if (mBurn.onMembers(now(), live)) {
            LOG.atInfo().log(
                    "burn: collectors changed. daemons=%s",
                    mBurn.collectors().stream().map(Member::name).toList());
        }
        ImmutableList.Builder<LiveMember> members = ImmutableList.builder();
        alive.forEach(member -> members.add(toLiveMember(member)));
        if (mLeaving) {
            members.add(toLiveMember(mSelf));
        }
        mOwnership.onMembers(members.build());
        mConsumers.onGateways(new GatewayDaemons(mSelf, live, leavingMembers()));
    }

    private ImmutableList<Member> leavingMembers() {
        return mDetector.members().stream()
                .filter(update -> update.state() == MemberState.LEFT)
                .map(MemberUpdate::member)
                .collect(ImmutableList.toImmutableList());
    }

    private static LiveMember toLiveMember(Member member) {
        return new LiveMember(
                new MemberId(member.name(), member.incarnation()), member.dataCentre());
    }

    private void sync(List<SyncCommand> commands) {
        for (SyncCommand command : commands) {
            if (command instanceof SyncCommand.Send send) {
                mTransport.send(send.to(), send.message());
            } else if (command instanceof SyncCommand.ConfigurationChanged change) {
                onConfiguration(change.configuration());
            } else if (command instanceof SyncCommand.ShardChanged change) {
                mOwnership.onState(change.version(), change.state());
                mConsumers.onShard(change.version(), change.state());
            } else if (command instanceof SyncCommand.Refused refused) {
                logRefused(refused.change());
            }
        }
    }

    private void onConfiguration(Configuration configuration) {
        ConfigurationLog.lines(mLogged, configuration)
                .forEach(line -> LOG.atInfo().log("%s", line));
        mLogged = configuration;
        mRolesChanged = true;
        mOwnership.onConfiguration(configuration);
        mConfirmations.onConfiguration(configuration);
        mConsumers.onConfiguration(configuration);
    }

    private static void logRefused(Change change) {
        Change.Invalid invalid = (Change.Invalid) change.content();
        LOG.atWarning().log(
                "config: object refused, the last good one stays. kind=%s name=%s version=%d"
                        + " field=%s reason=%s",
                change.kind().path(),
                change.name(),
                change.version(),
                invalid.field(),
                invalid.reason());
    }

    private void onShardObject(StoredObject object) {
        if (!object.kind().equals(OwnershipRunner.SHARD_KIND)) {
            return;
        }
        try {
            ShardState state = Json.fromTree(object.spec(), ShardState.class);
            sync(mDisseminator.onShardWatched(object.version(), state));
        } catch (IllegalArgumentException e) {
            LOG.atSevere().log(
                    "ownership: stored state of a shard cannot be read. name=%s reason=%s",
                    object.name(), e.getMessage());
        }
    }

    /** Takes what the control duty decides for the path of requests; methods do not block. */
    interface Consumers {
        /** Takes a configuration that is in force. */
        void onConfiguration(Configuration configuration);

        /** Takes the state of a shard. */
        void onShard(long version, ShardState state);

        /** Takes the confirmation that a version of a table was current. */
        void onTableLease(String service, long version, long untilNanos);

        /** Takes the table of gateway daemons. */
        void onGateways(GatewayDaemons gateways);

        /** Takes the restart of a backend server. */
        void onNewIncarnation(String server);
    }
}
