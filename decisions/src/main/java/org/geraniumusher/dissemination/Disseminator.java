package org.geraniumusher.dissemination;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;

import org.geraniumusher.dissemination.Change.Invalid;
import org.geraniumusher.dissemination.ConfigurationReplica.Result;
import org.geraniumusher.dissemination.ShardChange.Whole;
import org.geraniumusher.dissemination.SyncCommand.ConfigurationChanged;
import org.geraniumusher.dissemination.SyncCommand.Refused;
import org.geraniumusher.dissemination.SyncCommand.Send;
import org.geraniumusher.dissemination.SyncCommand.ShardChanged;
import org.geraniumusher.dissemination.SyncMessage.Delta;
import org.geraniumusher.dissemination.SyncMessage.Pull;
import org.geraniumusher.dissemination.SyncMessage.ShardChanges;
import org.geraniumusher.dissemination.SyncMessage.Snapshot;
import org.geraniumusher.dissemination.SyncMessage.VersionsReport;
import org.geraniumusher.dissemination.SyncMessage.VersionsRequest;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.Rendezvous;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.ShardState;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps a daemon's configuration and shard states up to date and passes them on.
 *
 * <p>News is pushed once: from a feeder, an operator's daemon or a coordinator to the relay of each
 * data centre, and from a relay to the daemons of its data centre. What a push misses is pulled,
 * because every probe carries the sender's versions. Versions never go back. Not thread-safe.
 */
public final class Disseminator {
    /** Most bytes of service names in the versions of a datagram. */
    private static final int MAX_SHARD_BYTES = 240;

    /** Recently changed shards that are named in every datagram; the others take turns. */
    private static final int RECENT_SHARDS = 4;

    private static final int MAX_SHARDS = 8;
    private static final int SHARD_NUMBER_BYTES = 14;
    private static final int MAX_EARLY_NAMED = 4;

    /** Changes beyond which a relay only announces its version, and its data centre pulls. */
    private static final int MAX_PUSHED_CHANGES = 16;

    /** Time after which a pull counts as lost. */
    private static final long PULL_TIMEOUT_NANOS = Duration.ofMillis(500).toNanos();

    /** Time between two questions to the same daemon about the version that it has in force. */
    private static final long ASK_PERIOD_NANOS = Duration.ofMillis(500).toNanos();

    /** Questions in one tick, which bounds the burst in a large fleet. */
    private static final int ASKS_PER_TICK = 32;

    private final Member mSelf;
    private final ConfigurationReplica mConfiguration = new ConfigurationReplica();
    private final ShardReplica mShards = new ShardReplica();
    private final VersionsInForce mInForce = new VersionsInForce();
    private ImmutableList.Builder<SyncCommand> mOut = ImmutableList.builder();
    private Rendezvous mAlive;
    private ImmutableList<Member> mLive;
    private Optional<Long> mPulledNanos = Optional.empty();
    private int mShardCursor;
    private long mWatched = -1;
    private final TreeSet<Long> mAwaited = new TreeSet<>();
    private Optional<Long> mAskedNanos = Optional.empty();
    private int mAskCursor;

    /** Says where news came from, which decides to whom it is passed on. */
    private enum Origin {
        STORE,
        HERE,
        PEER
    }

    private Disseminator(Member self) {
        mSelf = self;
        mLive = ImmutableList.of(self);
        mAlive = Rendezvous.of(mLive);
    }

    /** Returns a disseminator that has nothing yet. */
    public static Disseminator create(Member self) {
        return new Disseminator(checkNotNull(self));
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return mConfiguration.configuration();
    }

    /** Returns the version up to which all changes of the configuration are in force. */
    public long configurationVersion() {
        return mConfiguration.version();
    }

    /** Returns the state of a shard. */
    public Optional<ShardState> shard(String service) {
        return mShards.state(service);
    }

    /** Returns the version of a shard, or 0 when it is not known. */
    public long shardVersion(String service) {
        return mShards.version(service);
    }

    /** Reports whether this daemon watches the store for its region. */
    public boolean isFeeder() {
        Set<String> dataCentres = dataCentresOfRegion();
        return mAlive.feeders(regionOf(mSelf.dataCentre()), dataCentres).contains(mSelf);
    }

    /** Reports whether this daemon passes changes on in its data centre. */
    public boolean isRelay() {
        return mAlive.relay(mSelf.dataCentre()).filter(mSelf::equals).isPresent();
    }

    /** Returns the versions for the next datagrams; of many shards, other ones at each call. */
    public Versions versions() {
        List<Long> early = mConfiguration.early().asList();
        ImmutableSet<Long> named =
                ImmutableSet.copyOf(
                        early.subList(Math.max(0, early.size() - MAX_EARLY_NAMED), early.size()));
        return new Versions(mConfiguration.version(), named, shardVersions());
    }

    /**
     * Takes the members.
     *
     * @param alive members held alive, which get the tasks of feeders and relays
     * @param live members held alive or suspected, whose versions a wait includes
     */
    public void onMembers(Rendezvous alive, ImmutableList<Member> live) {
        mAlive = checkNotNull(alive);
        mLive = checkNotNull(live);
        mInForce.retain(live);
    }

    /** Takes the versions on a message, and pulls when the sender is ahead. */
    public ImmutableList<SyncCommand> onVersions(long nowNanos, Member from, Versions versions) {
        mInForce.report(from, versions);
        boolean open = mPulledNanos.filter(at -> nowNanos - at < PULL_TIMEOUT_NANOS).isPresent();
        if (!open) {
            pullIfBehind(nowNanos, from, versions);
        }
        return takeCommands();
    }

    /** Acts on a message from another daemon. */
    public ImmutableList<SyncCommand> onMessage(long nowNanos, Member from, SyncMessage message) {
        if (message instanceof Pull pull) {
            answer(from, pull);
        } else if (message instanceof Delta delta) {
            mPulledNanos = Optional.empty();
            Result result = applyDelta(delta, Origin.PEER, from);
            boolean more = result.isNew() && delta.latest() > mConfiguration.version();
            if (result.gap() || more) {
                pull(nowNanos, from, ImmutableMap.of());
            }
        } else if (message instanceof Snapshot snapshot) {
            mPulledNanos = Optional.empty();
            applySnapshot(snapshot, Origin.PEER, from);
        } else if (message instanceof ShardChanges shards) {
            mPulledNanos = Optional.empty();
            applyShards(nowNanos, from, shards);
        } else if (message instanceof VersionsRequest) {
            send(from, new VersionsReport());
        }
        return takeCommands();
    }

    /**
     * Takes the whole configuration as listed from the store at a revision. A watch from this
     * revision on must follow.
     */
    public ImmutableList<SyncCommand> onListed(long version, ImmutableList<Change> objects) {
        mWatched = version;
        applySnapshot(new Snapshot(version, objects), Origin.STORE, mSelf);
        return takeCommands();
    }

    /**
     * Takes the start of a watch of all changes after a revision, which is that of the
     * configuration in force or of a later bookmark.
     */
    public void onWatchOpened(long since) {
        mWatched = Math.min(since, mConfiguration.version());
    }

    /** Takes the next change of the watch. */
    public ImmutableList<SyncCommand> onWatched(Change change) {
        if (change.version() > mWatched) {
            long base = mWatched < 0 ? change.version() - 1 : mWatched;
            mWatched = change.version();
            applyDelta(
                    Delta.of(base, change.version(), ImmutableList.of(change)),
                    Origin.STORE,
                    mSelf);
        }
        return takeCommands();
    }

    /** Takes a change that the store accepted from this daemon, and spreads it at once. */
    public ImmutableList<SyncCommand> onAccepted(Change change) {
        Delta delta = Delta.of(change.version() - 1, change.version(), ImmutableList.of(change));
        applyDelta(delta, Origin.HERE, mSelf);
        return takeCommands();
    }

    /** Takes the state of a shard from the watch of the store. */
    public ImmutableList<SyncCommand> onShardWatched(long version, ShardState state) {
        return onShard(version, state, Origin.STORE);
    }

    /** Takes the state of a shard that this daemon read or wrote itself, and spreads it at once. */
    public ImmutableList<SyncCommand> onShardWritten(long version, ShardState state) {
        return onShard(version, state, Origin.HERE);
    }

    private ImmutableList<SyncCommand> onShard(long version, ShardState state, Origin origin) {
        long before = mShards.version(state.service());
        if (mShards.apply(new Whole(version, state)) == ShardReplica.Result.APPLIED) {
            mOut.add(new ShardChanged(version, state));
            passOn(shardNews(state.service(), before), origin, mSelf);
        }
        return takeCommands();
    }

    /** Starts to ask all live daemons whether they have a version in force. */
    public void onAwait(long version) {
        mAwaited.add(version);
    }

    /** Returns the live daemons that are not known to have a version in force. */
    public ImmutableList<Member> lagging(long version) {
        mInForce.report(mSelf, allVersions());
        return mInForce.lagging(version, mLive);
    }

    /** Returns the versions that a member last reported; of many shards, not all. */
    public Optional<Versions> versionsOf(Member member) {
        mInForce.report(mSelf, allVersions());
        return mInForce.find(member);
    }

    /** Ends the questions about a version. */
    public void onAwaitEnded(long version) {
        mAwaited.remove(version);
    }

    /** Acts on the passing of time. */
    public ImmutableList<SyncCommand> onTick(long nowNanos) {
        if (!mAwaited.isEmpty()) {
            ask(nowNanos);
        }
        return takeCommands();
    }

    private void ask(long nowNanos) {
        if (mAskCursor == 0) {
            if (mAskedNanos.filter(at -> nowNanos - at < ASK_PERIOD_NANOS).isPresent()) {
                return;
            }
            mAskedNanos = Optional.of(nowNanos);
        }
        ImmutableList<Member> lagging = lagging(mAwaited.last());
        int end = Math.min(mAskCursor + ASKS_PER_TICK, lagging.size());
        for (Member member : lagging.subList(Math.min(mAskCursor, end), end)) {
            if (!member.equals(mSelf)) {
                send(member, new VersionsRequest());
            }
        }
        mAskCursor = end < lagging.size() ? end : 0;
    }

    private Versions allVersions() {
        return new Versions(mConfiguration.version(), mConfiguration.early(), ImmutableMap.of());
    }

    private void pullIfBehind(long nowNanos, Member from, Versions versions) {
        ImmutableMap<String, Long> shards = mShards.behind(versions.shards());
        if (!shards.isEmpty() || mConfiguration.isBehind(versions)) {
            pull(nowNanos, from, shards);
        }
    }

    private void pull(long nowNanos, Member from, ImmutableMap<String, Long> shards) {
        mPulledNanos = Optional.of(nowNanos);
        send(from, new Pull(mConfiguration.version(), shards));
    }

    private void answer(Member from, Pull pull) {
        boolean ahead = mConfiguration.version() > pull.configuration();
        if (ahead || !mConfiguration.early().isEmpty()) {
            send(from, mConfiguration.changesSince(pull.configuration()));
        }
        ImmutableList.Builder<ShardChange> shards = ImmutableList.builder();
        pull.shards()
                .forEach(
                        (service, version) ->
                                mShards.changeSince(service, version).ifPresent(shards::add));
        ImmutableList<ShardChange> changes = shards.build();
        if (!changes.isEmpty()) {
            send(from, new ShardChanges(changes));
        }
    }

    private Result applyDelta(Delta delta, Origin origin, Member from) {
        Result result = mConfiguration.apply(delta);
        report(result);
        if (result.isNew()) {
            passOn(delta, origin, from);
        }
        return result;
    }

    private void applySnapshot(Snapshot snapshot, Origin origin, Member from) {
        Result result = mConfiguration.apply(snapshot);
        report(result);
        if (result.isNew()) {
            passOn(new VersionsReport(), origin, from);
        }
    }

    private void report(Result result) {
        result.applied().stream()
                .filter(change -> change.content() instanceof Invalid)
                .forEach(change -> mOut.add(new Refused(change)));
        if (result.isNew()) {
            mOut.add(new ConfigurationChanged(mConfiguration.configuration()));
        }
    }

    private void applyShards(long nowNanos, Member from, ShardChanges message) {
        ImmutableList.Builder<ShardChange> news = ImmutableList.builder();
        ImmutableMap.Builder<String, Long> missing = ImmutableMap.builder();
        for (ShardChange change : message.changes()) {
            ShardReplica.Result result = mShards.apply(change);
            if (result == ShardReplica.Result.APPLIED) {
                news.add(change);
                ShardState state = mShards.state(change.service()).orElseThrow();
                mOut.add(new ShardChanged(change.version(), state));
            } else if (result == ShardReplica.Result.GAP) {
                missing.put(change.service(), mShards.version(change.service()));
            }
        }
        ImmutableList<ShardChange> applied = news.build();
        if (!applied.isEmpty()) {
            passOn(new ShardChanges(applied), Origin.PEER, from);
        }
        ImmutableMap<String, Long> gaps = missing.buildKeepingLast();
        if (!gaps.isEmpty()) {
            pull(nowNanos, from, gaps);
        }
    }

    private SyncMessage shardNews(String service, long before) {
        return new ShardChanges(
                ImmutableList.of(mShards.changeSince(service, before).orElseThrow()));
    }

    /** Passes news on to the relays when it began here, and to the data centre as its relay. */
    private void passOn(SyncMessage news, Origin origin, Member from) {
        Set<Member> targets = new LinkedHashSet<>();
        if (origin != Origin.PEER) {
            Collection<String> dataCentres =
                    origin == Origin.STORE ? dataCentresOfRegion() : liveDataCentres();
            dataCentres.forEach(name -> mAlive.relay(name).ifPresent(targets::add));
        }
        if (isRelay()) {
            targets.addAll(mAlive.membersOf(mSelf.dataCentre()));
        }
        targets.remove(mSelf);
        targets.remove(from);
        boolean large = news instanceof Delta delta && delta.changes().size() > MAX_PUSHED_CHANGES;
        SyncMessage message = large ? new VersionsReport() : news;
        targets.forEach(member -> send(member, message));
    }

    private Set<String> liveDataCentres() {
        Set<String> names = new LinkedHashSet<>();
        mAlive.members().forEach(member -> names.add(member.dataCentre()));
        return names;
    }

    private Set<String> dataCentresOfRegion() {
        String region = regionOf(mSelf.dataCentre());
        Set<String> names = liveDataCentres();
        names.removeIf(name -> !regionOf(name).equals(region));
        return names;
    }

    /** Returns the region of a data centre, or "" while it is not configured. */
    private String regionOf(String dataCentre) {
        return configuration()
                .find(Kind.DATA_CENTRE, dataCentre)
                .map(object -> ((DataCentre) object).region())
                .orElse("");
    }

    private ImmutableMap<String, Long> shardVersions() {
        ImmutableList<String> services = mShards.services();
        Set<String> chosen = new LinkedHashSet<>();
        Iterables.addAll(chosen, Iterables.limit(services.reverse(), RECENT_SHARDS));
        int others = Math.min(MAX_SHARDS - RECENT_SHARDS, services.size());
        for (int i = 0; i < others; i++) {
            mShardCursor = (mShardCursor + 1) % services.size();
            chosen.add(services.get(mShardCursor));
        }
        int left = MAX_SHARD_BYTES;
        ImmutableMap.Builder<String, Long> versions = ImmutableMap.builder();
        for (String service : chosen) {
            left -= Utf8.encodedLength(service) + SHARD_NUMBER_BYTES;
            if (left >= 0) {
                versions.put(service, mShards.version(service));
            }
        }
        return versions.buildOrThrow();
    }

    private void send(Member to, SyncMessage message) {
        mOut.add(new Send(to, message));
    }

    private ImmutableList<SyncCommand> takeCommands() {
        ImmutableList<SyncCommand> commands = mOut.build();
        mOut = ImmutableList.builder();
        return commands;
    }
}
