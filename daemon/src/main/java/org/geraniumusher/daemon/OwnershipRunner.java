package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;

import org.geraniumusher.backend.BackendProtocol;
import org.geraniumusher.backend.GrantClient;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.ownership.AuthorityAck;
import org.geraniumusher.ownership.AuthorityRequest;
import org.geraniumusher.ownership.LiveMember;
import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.ownership.OwnershipCommand;
import org.geraniumusher.ownership.ServerRole;
import org.geraniumusher.ownership.ShardMember;
import org.geraniumusher.ownership.VersionedState;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WriteResult;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Runs a {@link ShardMember} for each keyed service and carries out its commands.
 *
 * <p>Confined to the thread of the duty control; answers of the store and of backend servers come
 * back to it through its ring.
 */
final class OwnershipRunner {
    /** Kind of the objects that hold the state of a shard. */
    static final String SHARD_KIND = "shard-state";

    /** 16 ticks of 25 ms stay below the 500 ms that count as a pause. */
    private static final int IDLE_TICKS = 16;

    /** Two seconds, as the platform counts each call. */
    private static final int INSTANCE_TICKS = 80;

    private static final int LOG_INTERVAL_SECONDS = 30;
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final LiveMember mSelf;
    private final LongSupplier mClock;
    private final Ports mPorts;
    private final ObjectApi mApi;
    private final GrantClient mGrants;
    private final Map<String, ShardMember> mMembers = new HashMap<>();

    /** Services whose shard has a group without this daemon. */
    private final Set<String> mIdle = new HashSet<>();

    private final Map<String, Long> mPublished = new HashMap<>();
    private final Map<String, ImmutableList<LiveMember>> mParticipants = new HashMap<>();
    private final Map<String, Long> mIncarnations = new HashMap<>();
    private ImmutableList<LiveMember> mLive;
    private Configuration mConfiguration = Configuration.of();
    private final long mStartNanos;
    private long mTicks;

    OwnershipRunner(
            LiveMember self, LongSupplier clock, Ports ports, ObjectApi api, GrantClient grants) {
        mSelf = checkNotNull(self);
        mClock = checkNotNull(clock);
        mPorts = checkNotNull(ports);
        mApi = checkNotNull(api);
        mGrants = checkNotNull(grants);
        mStartNanos = clock.getAsLong();
        mLive = ImmutableList.of(self);
    }

    /** Creates members for new keyed services and tells all of them their servers. */
    void onConfiguration(Configuration configuration) {
        mConfiguration = configuration;
        mParticipants.clear();
        Set<String> keyed = new HashSet<>();
        for (Service service : configuration.services()) {
            if (service.keyed()) {
                keyed.add(service.name());
                mMembers.computeIfAbsent(service.name(), name -> create(service));
                run(service.name(), m -> m.onMembers(now(), participants(service.name())));
                run(service.name(), m -> m.onServersChanged(now(), roles(service)));
            }
        }
        mMembers.keySet().retainAll(keyed);
        mIdle.retainAll(keyed);
    }

    /** Tells the members which daemons are alive. */
    void onMembers(Collection<LiveMember> live) {
        mLive = ImmutableList.copyOf(live);
        mParticipants.clear();
        for (String service : ImmutableList.copyOf(mMembers.keySet())) {
            run(service, member -> member.onMembers(now(), participants(service)));
        }
    }

    /** Tells the members that a run of a daemon has certainly ended. */
    void onMemberGone(MemberId id) {
        runAll(member -> member.onMemberGone(now(), id));
    }

    /** Takes a state from the store or another daemon. */
    void onState(long version, ShardState state) {
        run(state.service(), m -> m.onState(now(), new VersionedState(version, state)));
    }

    void onAuthorityRequest(AuthorityRequest request) {
        run(request.service(), m -> m.onAuthorityRequest(now(), request));
    }

    void onAuthorityAck(AuthorityAck ack) {
        run(ack.service(), m -> m.onAuthorityAck(now(), ack));
    }

    /**
     * Moves time on for the services in which this daemon takes part. Shards whose group does not
     * name it get every sixteenth tick: at the target size each daemon knows 200 shards and has a
     * role in one or two, and ticks of the others took 10% of a core.
     */
    void onTick() {
        mTicks++;
        for (String service : ImmutableList.copyOf(mMembers.keySet())) {
            boolean due = !mIdle.contains(service) || mTicks % IDLE_TICKS == 0;
            if (due && (participants(service).contains(mSelf) || hasRole(service))) {
                run(service, member -> member.onTick(now()));
            }
        }
        if (mTicks % INSTANCE_TICKS == 0) {
            askForInstances();
        }
    }

    /** Returns the members by service. */
    Map<String, ShardMember> members() {
        return mMembers;
    }

    private long now() {
        return mClock.getAsLong();
    }

    private ShardMember create(Service service) {
        return ShardMember.builder(service.name(), mSelf).initialSlices(service.slices()).build();
    }

    /**
     * Returns the live daemons in the regions of the service's backend servers. A group that spans
     * regions would lose its majority whenever regions lose each other. Without a daemon there, all
     * live daemons take part.
     */
    private ImmutableList<LiveMember> participants(String service) {
        return mParticipants.computeIfAbsent(service, this::findParticipants);
    }

    private ImmutableList<LiveMember> findParticipants(String service) {
        Set<String> regions = new HashSet<>();
        for (BackendServer server : selected(service)) {
            regions.add(regionOf(server.dataCentre()));
        }
        ImmutableList<LiveMember> near =
                mLive.stream()
                        .filter(member -> regions.contains(regionOf(member.dataCentre())))
                        .collect(ImmutableList.toImmutableList());
        return near.isEmpty() ? mLive : near;
    }

    private String regionOf(String dataCentre) {
        return mConfiguration
                .find(Kind.DATA_CENTRE, dataCentre)
                .map(object -> ((DataCentre) object).region())
                .orElse("");
    }

    private ImmutableList<BackendServer> selected(String service) {
        Optional<Service> found = mConfiguration.service(service);
        if (found.isEmpty()) {
            return ImmutableList.of();
        }
        Selector selector = found.get().selector();
        return mConfiguration.backendServers().stream()
                .filter(server -> selector.matches(mConfiguration.effectiveLabels(server)))
                .collect(ImmutableList.toImmutableList());
    }

    private List<ServerRole> roles(Service service) {
        Set<String> serving = new HashSet<>();
        mConfiguration.serversOf(service).forEach(server -> serving.add(server.name()));
        ImmutableList.Builder<ServerRole> roles = ImmutableList.builder();
        for (BackendServer server : selected(service.name())) {
            boolean isServing = serving.contains(server.name());
            roles.add(new ServerRole(server.name(), server.fenced(), isServing));
        }
        return roles.build();
    }

    private void runAll(Function<ShardMember, ImmutableList<OwnershipCommand>> event) {
        ImmutableList.copyOf(mMembers.keySet()).forEach(service -> run(service, event));
    }

    private void run(String service, Function<ShardMember, ImmutableList<OwnershipCommand>> event) {
        ShardMember member = mMembers.get(service);
        if (member == null) {
            return;
        }
        carryOut(service, event.apply(member));
        publish(service, member);
    }

    private void publish(String service, ShardMember member) {
        Optional<VersionedState> known = member.known();
        if (known.isPresent() && known.get().version() > mPublished.getOrDefault(service, 0L)) {
            mPublished.put(service, known.get().version());
            if (hasRole(known.get().state())) {
                mIdle.remove(service);
            } else {
                mIdle.add(service);
            }
            mPorts.onShardKnown(known.get());
        }
    }

    /** A member of a former group that is gone for good cannot acknowledge, so it is looked up. */
    private void askForInstances() {
        boolean isBlocked =
                mMembers.values().stream()
                        .anyMatch(m -> m.isCoordinator() && !unfenced(m).isEmpty());
        if (isBlocked) {
            mApi.list(InstanceList.KIND)
                    .thenAccept(result -> mPorts.run(() -> onInstances(result)));
        }
    }

    private void onInstances(ReadResult result) {
        if (!(result instanceof ReadResult.Found found)) {
            return;
        }
        InstanceList list = InstanceList.of(found);
        long upMillis = TimeUnit.NANOSECONDS.toMillis(now() - mStartNanos);
        long nowMillis = mSelf.id().incarnation() + upMillis;
        Set<MemberId> unfenced = new HashSet<>();
        mMembers.values().forEach(member -> unfenced.addAll(unfenced(member)));
        for (MemberId gone : list.gone(unfenced, mSelf.id(), nowMillis)) {
            LOG.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "ownership: the platform does not list a member any more. id=%s", gone);
            onMemberGone(gone);
        }
    }

    private static Set<MemberId> unfenced(ShardMember member) {
        return member.known()
                .map(known -> InstanceList.membersOf(known.state().unfencedGroups()))
                .orElse(Set.of());
    }

    /** A member of a group goes on when servers move to another region, until it is replaced. */
    private boolean hasRole(String service) {
        return mMembers.get(service).known().isPresent() && !mIdle.contains(service);
    }

    private boolean hasRole(ShardState state) {
        String self = mSelf.id().toString();
        return state.group().contains(self)
                || state.unfencedGroups().stream().anyMatch(group -> group.contains(self));
    }

    private void carryOut(String service, List<OwnershipCommand> commands) {
        for (OwnershipCommand command : commands) {
            if (command instanceof OwnershipCommand.WriteState write) {
                write(write);
            } else if (command instanceof OwnershipCommand.ReadState) {
                read(service);
            } else if (command instanceof OwnershipCommand.SendAuthorityRequest send) {
                mPorts.send(send.request());
            } else if (command instanceof OwnershipCommand.SendAuthorityAck send) {
                mPorts.send(send.ack());
            } else if (command instanceof OwnershipCommand.PollServer poll) {
                poll(service, poll.server());
            } else if (command instanceof OwnershipCommand.SendGrant send) {
                grant(service, send);
            } else if (command instanceof OwnershipCommand.LogDecision decision) {
                LOG.atInfo().log("%s", decision.text());
            }
        }
    }

    private void write(OwnershipCommand.WriteState write) {
        String service = write.service();
        mApi.put(
                        SHARD_KIND,
                        service,
                        write.expectedVersion(),
                        mSelf.id().toString(),
                        Json.toTree(write.state()))
                .thenAccept(result -> mPorts.run(() -> onWritten(service, result)));
    }

    private void onWritten(String service, WriteResult result) {
        if (result instanceof WriteResult.Written written) {
            run(service, m -> m.onWriteWritten(now(), written.version()));
        } else if (result instanceof WriteResult.Unknown) {
            run(service, m -> m.onWriteUnknown(now()));
        } else {
            if (result instanceof WriteResult.Refused refused) {
                LOG.atWarning().log(
                        "ownership: the store refused a state. service=%s reason=%s",
                        service, refused.reason());
            }
            run(service, m -> m.onWriteConflict(now()));
        }
    }

    private void read(String service) {
        mApi.get(SHARD_KIND, service)
                .thenAccept(result -> mPorts.run(() -> onRead(service, result)));
    }

    private void onRead(String service, ReadResult result) {
        if (!(result instanceof ReadResult.Found found)) {
            run(service, m -> m.onReadUnavailable(now()));
        } else if (found.objects().isEmpty()) {
            run(service, m -> m.onReadAbsent(now()));
        } else {
            StoredObject object = found.objects().get(0);
            ShardState state = Json.fromTree(object.spec(), ShardState.class);
            run(service, m -> m.onReadState(now(), new VersionedState(object.version(), state)));
        }
    }

    private void poll(String service, String name) {
        Optional<BackendServer> server = mConfiguration.backendServer(name);
        if (server.isPresent()) {
            mGrants.poll(server.get().address())
                    .thenAccept(status -> mPorts.run(() -> onStatus(service, name, status)));
        }
    }

    private void grant(String service, OwnershipCommand.SendGrant send) {
        Optional<BackendServer> server = mConfiguration.backendServer(send.server());
        if (server.isPresent()) {
            mGrants.grant(server.get().address(), send.grant())
                    .thenAccept(status -> mPorts.run(() -> onAcks(service, send.server(), status)));
        }
    }

    private void onStatus(String service, String server, BackendProtocol.Status status) {
        onAcks(service, server, status);
        run(
                service,
                m -> m.onServerStatus(now(), server, status.incarnation(), status.readingNanos()));
        Long before = mIncarnations.put(server, status.incarnation());
        if (before != null && before != status.incarnation()) {
            mPorts.onNewIncarnation(server);
        }
    }

    private void onAcks(String service, String server, BackendProtocol.Status status) {
        status.acks().stream()
                .filter(ack -> ack.service().equals(service))
                .forEach(ack -> run(service, m -> m.onGrantAck(now(), server, ack)));
    }

    /** Connects the runner with the rest of the daemon. */
    interface Ports {
        /** Runs a task on the thread of the duty control. */
        void run(Runnable task);

        /** Sends a request for authority to another daemon. */
        void send(AuthorityRequest request);

        /** Sends an answer to another daemon. */
        void send(AuthorityAck ack);

        /** Takes a state that is new to this daemon. */
        void onShardKnown(VersionedState state);

        /** Takes the restart of a backend server. */
        void onNewIncarnation(String server);
    }
}
