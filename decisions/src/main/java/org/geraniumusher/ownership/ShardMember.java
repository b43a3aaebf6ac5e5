package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides, for one keyed service and one daemon, about coordination, grants and moves.
 *
 * <p>Every daemon runs one per keyed service. Events carry the time in the daemon's monotonic clock
 * and return commands; {@link #onTick} has to be called every few tens of milliseconds. Invariants:
 * the state in use is always one that the store has accepted; the known version and the
 * acknowledged version never go back; a grant covers a slice only when no grant of another server
 * for it can be valid. Not thread-safe.
 */
public final class ShardMember {
    private final String mService;
    private final MemberId mSelf;
    private final int mInitialSlices;
    private final Peers mPeers;
    private final Fences mFences;
    private final Authority mAuthority;
    private final Servers mServers = new Servers();
    private final Releases mReleases;
    private final StoreAccess mStore;
    private final MovePlanner mPlanner;
    private ImmutableList.Builder<OwnershipCommand> mCommands = ImmutableList.builder();

    private Optional<VersionedState> mKnown = Optional.empty();
    private ImmutableList<MemberId> mGroup = ImmutableList.of();

    /** Lowest version that this member will still acknowledge or use. */
    private long mAcknowledged;

    private OptionalLong mLastTickNanos = OptionalLong.empty();
    private long mNextExchangeNanos;
    private long mIgnoreSentBeforeNanos;
    private long mGroupSeenNanos;
    private int mUndecided;

    private ShardMember(Builder builder) {
        mService = builder.mService;
        mSelf = builder.mSelf.id();
        mInitialSlices = builder.mInitialSlices;
        mPeers = new Peers(mService, builder.mSelf);
        mFences = new Fences(mSelf, mPeers::isGone);
        mAuthority = new Authority(mSelf);
        mReleases = new Releases(mFences, mServers);
        mStore = new StoreAccess(mService);
        mPlanner = new MovePlanner(builder.mPolicy, builder.mMaxInFlight);
    }

    /** Returns a builder of a member of the given service's shard, run by the given daemon. */
    public static Builder builder(String service, LiveMember self) {
        return new Builder(service, self);
    }

    /** Returns the highest version known with its state, if any. */
    public Optional<VersionedState> known() {
        return mKnown;
    }

    /** Returns the number of slices that wait for the store or for a receiving server. */
    public int undecided() {
        return mUndecided;
    }

    /** Reports whether this member is the recorded coordinator of the highest version known. */
    public boolean isCoordinator() {
        return mKnown.isPresent() && mKnown.get().state().coordinator().equals(mSelf.toString());
    }

    /** Reports whether this member may renew grants now. */
    public boolean hasAuthority(long nowNanos) {
        return authorityUntil(nowNanos).isPresent();
    }

    /** Advances everything that depends on time. */
    public ImmutableList<OwnershipCommand> onTick(long nowNanos) {
        enter(nowNanos);
        mLastTickNanos = OptionalLong.of(nowNanos);
        mFences.evaluate(nowNanos);
        mStore.readWhenDue(nowNanos).ifPresent(mCommands::add);
        if (nowNanos - mNextExchangeNanos >= 0) {
            exchange(nowNanos);
        }
        release(nowNanos);
        poll(nowNanos);
        decide(nowNanos);
        return leave();
    }

    /** Learns a state from a watch of the store or from another daemon. */
    public ImmutableList<OwnershipCommand> onState(long nowNanos, VersionedState learned) {
        enter(nowNanos);
        adopt(nowNanos, checkNotNull(learned, "learned"));
        return leave();
    }

    /** Learns the answer to a {@link OwnershipCommand.ReadState}. */
    public ImmutableList<OwnershipCommand> onReadState(long nowNanos, VersionedState read) {
        enter(nowNanos);
        adopt(nowNanos, checkNotNull(read, "read"));
        mStore.onRead(nowNanos, read.version() >= mAcknowledged);
        return leave();
    }

    /** Learns that the store holds no state of the shard. */
    public ImmutableList<OwnershipCommand> onReadAbsent(long nowNanos) {
        enter(nowNanos);
        mStore.onRead(nowNanos, mAcknowledged == 0);
        return leave();
    }

    /** Learns that the store did not answer a read. */
    public ImmutableList<OwnershipCommand> onReadUnavailable(long nowNanos) {
        enter(nowNanos);
        mStore.onRead(nowNanos, false);
        return leave();
    }

    /** Learns that the ordered write has become {@code version}. */
    public ImmutableList<OwnershipCommand> onWriteWritten(long nowNanos, long version) {
        enter(nowNanos);
        mStore.onWritten().ifPresent(state -> adopt(nowNanos, new VersionedState(version, state)));
        return leave();
    }

    /** Learns that another write has come before the ordered one. */
    public ImmutableList<OwnershipCommand> onWriteConflict(long nowNanos) {
        enter(nowNanos);
        mStore.onNotWritten(nowNanos);
        mStore.readWhenDue(nowNanos).ifPresent(mCommands::add);
        return leave();
    }

    /** Learns that the ordered write may or may not have taken effect. */
    public ImmutableList<OwnershipCommand> onWriteUnknown(long nowNanos) {
        enter(nowNanos);
        log("outcome of the write is unknown, reading back");
        mStore.onNotWritten(nowNanos);
        mStore.readWhenDue(nowNanos).ifPresent(mCommands::add);
        return leave();
    }

    /** Answers another member that wants authority for a version or fences the lower ones. */
    public ImmutableList<OwnershipCommand> onAuthorityRequest(
            long nowNanos, AuthorityRequest request) {
        enter(nowNanos);
        mPeers.note(request.from());
        if (request.to().equals(mSelf)) {
            request.state().ifPresent(s -> adopt(nowNanos, s));
            mPeers.onRequest(nowNanos, request.from());
            answer(request, acknowledges(nowNanos, request.version()));
        } else if (request.to().name().equals(mSelf.name())) {
            answer(request, false);
        }
        return leave();
    }

    /** Learns what another member answered to an authority request of this one. */
    public ImmutableList<OwnershipCommand> onAuthorityAck(long nowNanos, AuthorityAck ack) {
        enter(nowNanos);
        mPeers.note(ack.from());
        if (ack.to().equals(mSelf)) {
            ack.newer().ifPresent(s -> adopt(nowNanos, s));
            mPeers.onAnswer(nowNanos, ack.from(), ack.knownVersion());
            count(nowNanos, ack);
        }
        mFences.evaluate(nowNanos);
        release(nowNanos);
        poll(nowNanos);
        return leave();
    }

    /** Learns the incarnation and the clock reading of a server, and renews its grant. */
    public ImmutableList<OwnershipCommand> onServerStatus(
            long nowNanos, String server, long incarnation, long readingNanos) {
        enter(nowNanos);
        if (mServers.isKnown(server)
                && mServers.get(server).onStatus(nowNanos, incarnation, readingNanos)
                && mServers.get(server).isFenced()
                && isRenewer(nowNanos)) {
            grant(nowNanos, server, incarnation, readingNanos);
        }
        return leave();
    }

    /** Learns that a server has accepted a grant and runs nothing outside it. */
    public ImmutableList<OwnershipCommand> onGrantAck(long nowNanos, String server, GrantAck ack) {
        enter(nowNanos);
        if (mServers.isKnown(server)) {
            mServers.get(server).onGrantAck(ack);
            release(nowNanos);
            poll(nowNanos);
        }
        return leave();
    }

    /** Learns the configured servers of the service: those in service and those being drained. */
    public ImmutableList<OwnershipCommand> onServersChanged(
            long nowNanos, Collection<ServerRole> servers) {
        enter(nowNanos);
        mServers.setRoles(nowNanos, servers);
        watchServers(nowNanos);
        return leave();
    }

    /** Learns which daemons, this one included, membership holds alive. */
    public ImmutableList<OwnershipCommand> onMembers(
            long nowNanos, Collection<LiveMember> members) {
        enter(nowNanos);
        mPeers.setLive(members);
        mFences.evaluate(nowNanos);
        return leave();
    }

    /** Learns from the platform that a run of a daemon has certainly ended. */
    public ImmutableList<OwnershipCommand> onMemberGone(long nowNanos, MemberId member) {
        enter(nowNanos);
        mPeers.addGone(member);
        mFences.evaluate(nowNanos);
        return leave();
    }

    private void enter(long nowNanos) {
        if (mLastTickNanos.isEmpty()) {
            mLastTickNanos = OptionalLong.of(nowNanos);
            mNextExchangeNanos = nowNanos;
            mIgnoreSentBeforeNanos = nowNanos;
            mGroupSeenNanos = nowNanos;
        }
        long sinceTick = nowNanos - mLastTickNanos.getAsLong();
        if (sinceTick > OwnershipTimes.PAUSE_NANOS) {
            log("paused for " + sinceTick / 1_000_000 + " ms, dropping authority and suspicions");
            mLastTickNanos = OptionalLong.of(nowNanos);
            mAuthority.restart(mGroup);
            mIgnoreSentBeforeNanos = nowNanos;
            mPeers.restartWatch(nowNanos);
            mServers.restartWatch(nowNanos);
            mGroupSeenNanos = nowNanos;
        }
    }

    private ImmutableList<OwnershipCommand> leave() {
        ImmutableList<OwnershipCommand> commands = mCommands.build();
        mCommands = ImmutableList.builder();
        return commands;
    }

    private void log(String text) {
        mCommands.add(new OwnershipCommand.LogDecision("ownership " + mService + ": " + text));
    }

    /** Uses a state from now on, unless a higher version is known. */
    private void adopt(long nowNanos, VersionedState learned) {
        checkArgument(
                learned.state().service().equals(mService),
                "state of %s at %s",
                learned.state().service(),
                mService);
        if (mKnown.isPresent() && learned.version() <= mKnown.get().version()) {
            return;
        }
        String formerCoordinator = mKnown.map(k -> k.state().coordinator()).orElse("");
        ShardState state = learned.state();
        mKnown = Optional.of(learned);
        mAcknowledged = Math.max(mAcknowledged, learned.version());
        mGroup = Groups.parse(state.group());
        mAuthority.restart(mGroup);
        mPeers.watch(nowNanos, Groups.everyone(state));
        if (!mGroup.isEmpty() && !state.coordinator().equals(formerCoordinator)) {
            mPeers.onRequest(nowNanos, mGroup.get(0));
            mGroupSeenNanos = nowNanos;
        }
        mFences.begin(nowNanos, learned);
        mReleases.adopt(nowNanos, learned);
        watchServers(nowNanos);
        exchange(nowNanos);
    }

    private void watchServers(long nowNanos) {
        Set<String> named = new HashSet<>();
        for (Slice slice : slices()) {
            named.addAll(List.of(slice.owner(), slice.previous(), slice.pending()));
        }
        named.remove("");
        mServers.watch(nowNanos, named);
    }

    private List<Slice> slices() {
        return mKnown.isPresent() ? mKnown.get().state().slices() : ImmutableList.of();
    }

    /** Asks for authority, which fences the lower versions as well. */
    private void exchange(long nowNanos) {
        mNextExchangeNanos = nowNanos + OwnershipTimes.RENEWAL_NANOS;
        if (!mGroup.contains(mSelf)) {
            return;
        }
        VersionedState known = mKnown.get();
        boolean fences = isRenewer(nowNanos);
        for (MemberId id : fences ? Groups.everyone(known.state()) : mGroup) {
            if (!id.equals(mSelf) && !mPeers.isGone(id)) {
                Optional<VersionedState> state =
                        mPeers.knows(id, known.version()) ? Optional.empty() : mKnown;
                mCommands.add(
                        new OwnershipCommand.SendAuthorityRequest(
                                new AuthorityRequest(
                                        mService, mSelf, id, known.version(), nowNanos, state)));
            }
        }
    }

    private boolean acknowledges(long nowNanos, long version) {
        if (version < mAcknowledged) {
            return false;
        }
        mAcknowledged = version;
        if (version > knownVersion()) {
            mStore.requireRead(nowNanos);
        }
        return true;
    }

    private long knownVersion() {
        return mKnown.map(VersionedState::version).orElse(0L);
    }

    private void answer(AuthorityRequest request, boolean acknowledged) {
        Optional<VersionedState> newer = mKnown.filter(k -> k.version() > request.version());
        mCommands.add(
                new OwnershipCommand.SendAuthorityAck(
                        new AuthorityAck(
                                mService,
                                mSelf,
                                request.from(),
                                request.version(),
                                request.sentNanos(),
                                acknowledged,
                                knownVersion(),
                                newer)));
    }

    private void count(long nowNanos, AuthorityAck ack) {
        if (!ack.acknowledged()) {
            if (ack.newer().isEmpty() && mGroup.contains(ack.from())) {
                mStore.requireRead(nowNanos);
            }
            return;
        }
        mFences.acknowledge(nowNanos, ack.from(), ack.version());
        if (ack.version() == knownVersion() && ack.sentNanos() - mIgnoreSentBeforeNanos >= 0) {
            mAuthority.acknowledge(ack.from(), ack.sentNanos());
        }
    }

    private OptionalLong authorityUntil(long nowNanos) {
        boolean superseded = mAcknowledged > knownVersion();
        return superseded ? OptionalLong.empty() : mAuthority.until(nowNanos);
    }

    /** Reports whether this member's turn to renew grants has come. */
    private boolean isRenewer(long nowNanos) {
        return isCoordinator()
                || (mGroup.contains(mSelf)
                        && mPeers.requestSilence(nowNanos, mGroup.get(0))
                                >= OwnershipTimes.SILENCE_NANOS);
    }

    /** Polls as every member of the group does, so that a takeover finds lost servers detected. */
    private void poll(long nowNanos) {
        if (mGroup.contains(mSelf)) {
            for (String server : mServers.takeDue(nowNanos)) {
                mCommands.add(new OwnershipCommand.PollServer(mService, server));
            }
        }
    }

    private void grant(long nowNanos, String server, long incarnation, long readingNanos) {
        OptionalLong until = authorityUntil(nowNanos);
        if (until.isEmpty()) {
            return;
        }
        ImmutableList.Builder<GrantRange> ranges = ImmutableList.builder();
        for (Slice slice : slices()) {
            if (slice.owner().equals(server) && mReleases.isReleased(nowNanos, slice)) {
                ranges.add(new GrantRange(slice.first(), slice.last(), slice.epoch()));
            }
        }
        long left = OwnershipTimes.shortened(until.getAsLong() - nowNanos);
        long expiry = readingNanos + Math.min(OwnershipTimes.GRANT_NANOS, left);
        mCommands.add(
                new OwnershipCommand.SendGrant(
                        server,
                        new Grant(
                                mService,
                                knownVersion(),
                                incarnation,
                                readingNanos,
                                expiry,
                                ranges.build())));
    }

    /** Hurries the polls that end a move: of the previous owner, then of the new one. */
    private void release(long nowNanos) {
        if (!mReleases.isAnyMoving()) {
            return;
        }
        for (Slice slice : slices()) {
            mReleases.hurriedServer(nowNanos, slice).ifPresent(s -> mServers.hurry(nowNanos, s));
        }
    }

    private void decide(long nowNanos) {
        boolean mayWrite = mStore.isSettled();
        countUndecided(nowNanos, mayWrite);
        if (!mayWrite || mPeers.liveCount() == 0) {
            return;
        }
        if (mKnown.isEmpty()) {
            create(nowNanos);
            return;
        }
        ShardState state = mKnown.get().state();
        if (isCoordinator()) {
            write(nowNanos, planned(nowNanos, withLiveStandbys(nowNanos, state)));
        } else if (isTurnToTakeOver(nowNanos)) {
            log("taking over from " + state.coordinator() + " at term " + (state.term() + 1));
            List<MemberId> present = mGroup.contains(mSelf) ? mGroup : ImmutableList.of();
            write(nowNanos, planned(nowNanos, takenOver(nowNanos, state, present)));
        }
    }

    private void write(long nowNanos, ShardState next) {
        if (mKnown.isPresent() && next.equals(mKnown.get().state())) {
            return;
        }
        logMoves(nowNanos, next);
        mCommands.add(mStore.write(knownVersion(), next));
    }

    private void logMoves(long nowNanos, ShardState next) {
        ImmutableSortedSet<String> receivers = mServers.receivers(nowNanos);
        MoveSummary summary =
                new MoveSummary(s -> mServers.isLost(nowNanos, s), receivers::contains);
        String text = summary.between(slices(), next);
        if (!text.isEmpty()) {
            log(text);
        }
    }

    private void create(long nowNanos) {
        long turn = mPeers.rank() * OwnershipTimes.TAKEOVER_STEP_NANOS;
        if (nowNanos - mGroupSeenNanos >= turn) {
            log("creating the shard with " + mInitialSlices + " slices");
            ShardState empty = ShardState.create(mService, mInitialSlices);
            write(nowNanos, planned(nowNanos, takenOver(nowNanos, empty, ImmutableList.of())));
        }
    }

    private ShardState takenOver(long nowNanos, ShardState state, List<MemberId> present) {
        ImmutableList<MemberId> others =
                present.stream()
                        .filter(id -> !id.equals(mSelf))
                        .collect(ImmutableList.toImmutableList());
        return Groups.takeOver(state, mSelf, mPeers.chooseStandbys(nowNanos, others));
    }

    /** Returns the state with another group when a standby is gone or one can be added. */
    private ShardState withLiveStandbys(long nowNanos, ShardState state) {
        List<MemberId> standbys = mGroup.subList(1, mGroup.size());
        ImmutableList<MemberId> chosen = mPeers.chooseStandbys(nowNanos, standbys);
        if (Set.copyOf(chosen).equals(Set.copyOf(standbys))) {
            return state;
        }
        log("changing standbys from " + standbys + " to " + chosen);
        return Groups.takeOver(state, mSelf, chosen);
    }

    private ShardState planned(long nowNanos, ShardState state) {
        ShardState next = mPlanner.next(state, new PresentFacts(nowNanos));
        List<List<String>> lapsed = mFences.lapsedGroups(nowNanos);
        List<List<String>> unfenced = new ArrayList<>(next.unfencedGroups());
        return unfenced.removeAll(lapsed) ? next.withUnfencedGroups(unfenced) : next;
    }

    /** Standbys take over in their order; other daemons only when the whole group is not alive. */
    private boolean isTurnToTakeOver(long nowNanos) {
        int index = mGroup.indexOf(mSelf);
        if (index > 0) {
            boolean gone = mPeers.isGone(mGroup.get(0));
            long patience = gone ? 0 : OwnershipTimes.SILENCE_NANOS;
            return mPeers.requestSilence(nowNanos, mGroup.get(0))
                    >= patience + (index - 1) * OwnershipTimes.TAKEOVER_STEP_NANOS;
        }
        if (mGroup.stream().anyMatch(mPeers::isLive)) {
            mGroupSeenNanos = nowNanos;
        }
        return nowNanos - mGroupSeenNanos
                >= OwnershipTimes.SILENCE_NANOS
                        + (2 + mPeers.rank()) * OwnershipTimes.TAKEOVER_STEP_NANOS;
    }

    private void countUndecided(long nowNanos, boolean mayWrite) {
        int count = 0;
        Set<String> lost = mServers.lost(nowNanos);
        if (isRenewer(nowNanos)) {
            for (Slice slice : slices()) {
                count += !slice.hasOwner() || lost.contains(slice.owner()) ? 1 : 0;
            }
        }
        if (count > 0 && mUndecided == 0) {
            log(count + " slices without a live owner, store " + (mayWrite ? "up" : "pending"));
        }
        mUndecided = count;
    }

    /** Answers the planner from what is known at one time. */
    private final class PresentFacts implements MovePlanner.Facts {
        private final long mNowNanos;
        private final Set<String> mLost;

        PresentFacts(long nowNanos) {
            mNowNanos = nowNanos;
            mLost = mServers.lost(nowNanos);
        }

        @Override
        public ImmutableSortedSet<String> receivers() {
            return mServers.receivers(mNowNanos);
        }

        @Override
        public boolean isLost(String server) {
            return mLost.contains(server);
        }

        @Override
        public boolean isReleased(Slice slice) {
            return mReleases.isReleased(mNowNanos, slice);
        }

        @Override
        public boolean isWarmed(Slice slice) {
            return mReleases.isWarmed(mNowNanos, slice);
        }

        @Override
        public boolean mayMovePlanned() {
            return isCoordinator()
                    && hasAuthority(mNowNanos)
                    && mKnown.get().state().unfencedGroups().isEmpty()
                    && mGroup.stream()
                            .allMatch(id -> id.equals(mSelf) || mPeers.isResponsive(mNowNanos, id));
        }
    }

    /** Collects what a {@link ShardMember} is made from. */
    public static final class Builder {
        private final String mService;
        private final LiveMember mSelf;
        private int mInitialSlices = 256;
        private AssignmentPolicy mPolicy = EvenCountPolicy.create();
        private int mMaxInFlight = 8;

        private Builder(String service, LiveMember self) {
            checkArgument(!service.isBlank(), "member without a service");
            mService = service;
            mSelf = checkNotNull(self, "self");
        }

        /** Sets the number of slices of a shard that does not exist yet. */
        public Builder initialSlices(int count) {
            checkArgument(count >= 1, "bad number of slices: %s", count);
            mInitialSlices = count;
            return this;
        }

        /** Sets the decision which server should own which slice. */
        public Builder policy(AssignmentPolicy policy) {
            mPolicy = checkNotNull(policy, "policy");
            return this;
        }

        /** Sets how many slices may move to one server at a time in planned moves. */
        public Builder maxInFlight(int slices) {
            checkArgument(slices >= 1, "bad bound of slices in flight: %s", slices);
            mMaxInFlight = slices;
            return this;
        }

        /** Creates the member, which knows no state yet. */
        public ShardMember build() {
            return new ShardMember(this);
        }
    }
}
