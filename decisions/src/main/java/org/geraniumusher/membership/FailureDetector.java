package org.geraniumusher.membership;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.base.Utf8;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.membership.MembershipCommand.Changed;
import org.geraniumusher.membership.MembershipCommand.Reason;
import org.geraniumusher.membership.MembershipCommand.Send;
import org.geraniumusher.membership.MembershipMessage.MembersReply;
import org.geraniumusher.membership.MembershipMessage.MembersRequest;
import org.geraniumusher.membership.MembershipMessage.Probe;
import org.geraniumusher.membership.MembershipMessage.ProbeAck;
import org.geraniumusher.membership.MembershipMessage.ProbeRequest;
import org.geraniumusher.model.Address;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Detects failed daemons in the manner of SWIM.
 *
 * <p>Each probe period this daemon probes one other in a shuffled order, asks others to probe it
 * when it does not answer, and suspects it when they are silent too. A suspicion spreads on probes
 * and becomes death unless the member refutes it. Messages and work in a period do not grow with
 * the number of members.
 *
 * <p>Invariants: an update is only replaced by one that supersedes it; a member that left stays
 * left in its incarnation; after a pause the suspicions raised here are dropped before any other
 * decision. Not thread-safe; events must come from one thread, with a clock that does not go back.
 */
public final class FailureDetector {
    /** Largest datagram, in bytes; fits into one Ethernet frame with tunnel headers. */
    public static final int MAX_DATAGRAM_BYTES = 1_200;

    /** Part of a datagram that belongs to the versions and headers of the transport. */
    static final int RESERVED_BYTES = 400;

    /** Every so many periods a dead member or an unknown seed is probed, to heal partitions. */
    private static final int RECONNECT_PERIODS = 4;

    /** Daemons told directly that this one leaves; gossip reaches the others. */
    private static final int LEAVE_MESSAGES = 8;

    /** Probes made for others that may wait for an answer at the same time. */
    private static final int MAX_RELAYED = 256;

    /**
     * Part of the members that may be missing before the list is pulled, as a divisor. Gossip alone
     * is slow when many daemons start together, because it carries a few updates a datagram.
     */
    private static final int MISSING_DIVISOR = 50;

    /** Periods between two requests for a list of members. */
    private static final int MEMBERS_REQUEST_PERIODS = 10;

    private static final int SEED_TRIES = 8;

    private final DetectorSettings mSettings;
    private final MemberTable mTable;
    private final UpdateQueue mQueue = new UpdateQueue();
    private final Map<Long, Relayed> mRelayed = new LinkedHashMap<>();
    private MemberUpdate mSelf;
    private ImmutableList<Seed> mSeeds = ImmutableList.of();
    private Optional<Outstanding> mProbe = Optional.empty();
    private ImmutableList.Builder<MembershipCommand> mOut = ImmutableList.builder();
    private boolean mStarted;
    private boolean mNeedsMembers = true;
    private Optional<Long> mMembersAskedNanos = Optional.empty();
    private boolean mLate;
    private long mNextPeriodNanos;
    private long mLastTickNanos;
    private long mSequence;
    private long mPeriods;
    private int mSeedCursor;

    private FailureDetector(Member self, DetectorSettings settings, Random random) {
        mSelf = MemberUpdate.of(self);
        mSettings = settings;
        mTable = new MemberTable(random);
        mSequence = random.nextInt(Integer.MAX_VALUE);
    }

    /** Is the probe of the present period. */
    private record Outstanding(
            long sequence, MemberUpdate target, long sentNanos, boolean askedOthers) {}

    /** Is a probe made for another daemon. */
    private record Relayed(Address requester, long sequence) {}

    /** Returns a detector that knows only itself; {@code seed} orders probes. */
    public static FailureDetector create(Member self, DetectorSettings settings, long seed) {
        return new FailureDetector(checkNotNull(self), checkNotNull(settings), new Random(seed));
    }

    /** Returns this daemon. */
    public Member self() {
        return mSelf.member();
    }

    /** Returns the members that are held alive, with this one unless it leaves, in no order. */
    public ImmutableList<Member> alive() {
        ImmutableList.Builder<Member> alive = ImmutableList.builder();
        if (mSelf.state() == MemberState.ALIVE) {
            alive.add(mSelf.member());
        }
        mTable.live().stream()
                .filter(update -> update.state() == MemberState.ALIVE)
                .forEach(update -> alive.add(update.member()));
        return alive.build();
    }

    /** Returns what is believed about all daemons, this one first. */
    public ImmutableList<MemberUpdate> members() {
        return ImmutableList.<MemberUpdate>builder().add(mSelf).addAll(mTable.all()).build();
    }

    /** Returns the members that are held alive or suspected, with this one unless it leaves. */
    public ImmutableList<Member> live() {
        ImmutableList.Builder<Member> live = ImmutableList.builder();
        if (mSelf.state() == MemberState.ALIVE) {
            live.add(mSelf.member());
        }
        mTable.live().forEach(update -> live.add(update.member()));
        return live.build();
    }

    /** Returns what is believed about a daemon, or empty when it is not known. */
    public Optional<MemberUpdate> find(String name) {
        return name.equals(mSelf.name()) ? Optional.of(mSelf) : mTable.find(name);
    }

    /**
     * Acts on the passing of time; to be called at least every 100 ms. A probe period in which two
     * calls were further apart than half of it raises no suspicion, because the answer may wait in
     * this daemon.
     */
    public ImmutableList<MembershipCommand> onTick(long nowNanos) {
        boolean paused = mStarted && nowNanos - mLastTickNanos > mSettings.pauseNanos();
        if (!mStarted || paused) {
            mStarted = true;
            mNextPeriodNanos = nowNanos;
        }
        mLate |= nowNanos - mLastTickNanos > mSettings.probePeriodNanos() / 2;
        mLastTickNanos = nowNanos;
        if (paused) {
            dropOwnSuspicions(nowNanos);
        }
        askOthersWhenSilent(nowNanos);
        expireSuspicions(nowNanos);
        if (nowNanos - mNextPeriodNanos >= 0) {
            endPeriod(nowNanos);
            startPeriod(nowNanos);
        }
        return takeCommands();
    }

    /** Acts on a message from another daemon. */
    public ImmutableList<MembershipCommand> onMessage(long nowNanos, MembershipMessage message) {
        if (message.sender().name().equals(mSelf.name())) {
            return ImmutableList.of();
        }
        boolean joining = message instanceof MembersReply;
        apply(nowNanos, message.sender(), true);
        message.updates().forEach(update -> apply(nowNanos, update, !joining));
        if (message instanceof Probe probe) {
            onProbe(probe);
        } else if (message instanceof ProbeAck ack) {
            onAck(nowNanos, ack);
        } else if (message instanceof ProbeRequest request) {
            onProbeRequest(request);
        } else if (message instanceof MembersRequest) {
            send(message.sender(), new MembersReply(mSelf, mTable.live()));
        } else {
            mNeedsMembers = false;
        }
        return takeCommands();
    }

    /** Takes the platform's list, which lags: names on it are probed, missing ones are kept. */
    public ImmutableList<MembershipCommand> onSeeds(long nowNanos, List<Seed> seeds) {
        mSeeds =
                seeds.stream()
                        .filter(seed -> !seed.name().equals(mSelf.name()))
                        .collect(ImmutableList.toImmutableList());
        mSeedCursor = 0;
        for (int i = 0; i < mSettings.indirectProbes(); i++) {
            nextUnknownSeed().ifPresent(this::probeSeed);
        }
        return takeCommands();
    }

    /**
     * Takes the platform's word that an instance is gone. The member is dead at once, and the
     * reason is reported even when it was dead before, because only this makes its end certain.
     * Should its process run nevertheless, it refutes.
     */
    public ImmutableList<MembershipCommand> onInstanceGone(long nowNanos, String name) {
        Optional<MemberUpdate> known = mTable.find(name);
        known.filter(update -> update.state().isLive())
                .ifPresent(
                        update ->
                                decide(
                                        nowNanos,
                                        update.withState(MemberState.DEAD),
                                        Reason.INSTANCE_GONE));
        known.filter(update -> !update.state().isLive())
                .ifPresent(
                        update ->
                                mOut.add(
                                        new Changed(
                                                update.member(),
                                                update.state(),
                                                Reason.INSTANCE_GONE)));
        return takeCommands();
    }

    /** Tells the others that this daemon leaves. It keeps answering probes until it ends. */
    public ImmutableList<MembershipCommand> onLeave(long nowNanos) {
        checkState(mSelf.state() != MemberState.LEFT, "%s has left before", mSelf.name());
        mSelf = mSelf.withState(MemberState.LEFT);
        mTable.sample(LEAVE_MESSAGES, mSelf.name()).forEach(this::probe);
        return takeCommands();
    }

    private void onProbe(Probe probe) {
        if (probe.target().equals(mSelf.name())) {
            send(probe.sender(), ack(probe.sequence(), updatesFor(probe.sender().name())));
        }
    }

    private void onAck(long nowNanos, ProbeAck ack) {
        if (mProbe.isPresent() && mProbe.get().sequence() == ack.sequence()) {
            mProbe = Optional.empty();
        }
        Relayed relayed = mRelayed.remove(ack.sequence());
        if (relayed != null) {
            ImmutableList<MemberUpdate> answer = ImmutableList.of(ack.sender());
            mOut.add(new Send(relayed.requester(), ack(relayed.sequence(), answer)));
        }
        if ((mNeedsMembers || isFarBehind(ack)) && !hasAskedLately(nowNanos)) {
            mMembersAskedNanos = Optional.of(nowNanos);
            send(ack.sender(), new MembersRequest(mSelf));
        }
    }

    private boolean isFarBehind(ProbeAck ack) {
        int known = mTable.liveCount();
        return ack.liveCount() - known > known / MISSING_DIVISOR;
    }

    private ProbeAck ack(long sequence, ImmutableList<MemberUpdate> updates) {
        return new ProbeAck(mSelf, sequence, mTable.liveCount(), updates);
    }

    private boolean hasAskedLately(long nowNanos) {
        long timeout = MEMBERS_REQUEST_PERIODS * mSettings.probePeriodNanos();
        return mMembersAskedNanos.filter(asked -> nowNanos - asked < timeout).isPresent();
    }

    private void onProbeRequest(ProbeRequest request) {
        if (mRelayed.size() >= MAX_RELAYED) {
            mRelayed.remove(mRelayed.keySet().iterator().next());
        }
        long sequence = mSequence++;
        Address requester = request.sender().member().peerAddress();
        mRelayed.put(sequence, new Relayed(requester, request.sequence()));
        probeSeed(request.target(), sequence);
    }

    private void dropOwnSuspicions(long nowNanos) {
        mProbe = Optional.empty();
        long deadline = nowNanos + mSettings.suspicionNanos(mTable.liveCount());
        for (MemberUpdate update : mTable.dropOwnSuspicions(deadline)) {
            mQueue.remove(update.name());
            mTable.put(nowNanos, update.withState(MemberState.ALIVE));
            mOut.add(new Changed(update.member(), MemberState.ALIVE, Reason.OWN_PAUSE));
        }
    }

    private void askOthersWhenSilent(long nowNanos) {
        if (mProbe.isEmpty() || mProbe.get().askedOthers()) {
            return;
        }
        Outstanding probe = mProbe.get();
        if (nowNanos - probe.sentNanos() < mSettings.ackTimeoutNanos()) {
            return;
        }
        mProbe =
                Optional.of(
                        new Outstanding(probe.sequence(), probe.target(), probe.sentNanos(), true));
        Member target = probe.target().member();
        Seed address = new Seed(target.name(), target.peerAddress());
        for (MemberUpdate other : mTable.sample(mSettings.indirectProbes(), target.name())) {
            ImmutableList<MemberUpdate> updates = updatesFor(other.name());
            send(other, new ProbeRequest(mSelf, probe.sequence(), address, updates));
        }
    }

    private void endPeriod(long nowNanos) {
        Optional<Outstanding> probe = mProbe;
        mProbe = Optional.empty();
        probe.filter(p -> !mLate)
                .flatMap(p -> mTable.find(p.target().name()))
                .filter(update -> update.state() == MemberState.ALIVE)
                .filter(update -> isUnchanged(update, probe.get().target()))
                .ifPresent(
                        update ->
                                decide(
                                        nowNanos,
                                        update.withState(MemberState.SUSPECT),
                                        Reason.SILENT));
        mTable.forget(nowNanos);
    }

    /** Reports whether the member has not refuted anything since it was probed. */
    private static boolean isUnchanged(MemberUpdate update, MemberUpdate probed) {
        return isSameMember(update, probed) && update.refutation() == probed.refutation();
    }

    private static boolean isSameMember(MemberUpdate update, MemberUpdate other) {
        return update.member().incarnation() == other.member().incarnation();
    }

    private void startPeriod(long nowNanos) {
        mNextPeriodNanos += mSettings.probePeriodNanos();
        if (mNextPeriodNanos - nowNanos <= 0) {
            mNextPeriodNanos = nowNanos + mSettings.probePeriodNanos();
        }
        mLate = false;
        Optional<MemberUpdate> target = mTable.next();
        target.ifPresent(
                update -> {
                    mProbe = Optional.of(new Outstanding(mSequence, update, nowNanos, false));
                    probe(update);
                });
        if (target.isEmpty() || mPeriods++ % RECONNECT_PERIODS == 0) {
            mTable.nextDead().ifPresent(this::probe);
            nextUnknownSeed().ifPresent(this::probeSeed);
        }
    }

    private Optional<Seed> nextUnknownSeed() {
        for (int tries = 0; tries < SEED_TRIES && !mSeeds.isEmpty(); tries++) {
            Seed seed = mSeeds.get(mSeedCursor++ % mSeeds.size());
            boolean live = mTable.find(seed.name()).filter(u -> u.state().isLive()).isPresent();
            if (!live) {
                return Optional.of(seed);
            }
        }
        return Optional.empty();
    }

    private void expireSuspicions(long nowNanos) {
        for (MemberUpdate update : mTable.expired(nowNanos)) {
            decide(nowNanos, update.withState(MemberState.DEAD), Reason.SUSPICION_EXPIRED);
        }
    }

    /** Takes an update from another daemon. */
    private void apply(long nowNanos, MemberUpdate update, boolean passOn) {
        if (update.name().equals(mSelf.name())) {
            refute(update);
            return;
        }
        Optional<MemberUpdate> before = mTable.find(update.name());
        if (before.isPresent() && !update.supersedes(before.get())) {
            if (before.get().supersedes(update)) {
                // Somebody missed the newer update while it was passed on.
                mQueue.addIfAbsent(before.get());
            }
            return;
        }
        store(nowNanos, update, false);
        if (passOn) {
            mQueue.add(update);
        }
        boolean restarted = before.isPresent() && !isSameMember(update, before.get());
        boolean changed =
                before.isPresent()
                        ? restarted || before.get().state() != update.state()
                        : update.state().isLive();
        if (changed) {
            Reason reason = restarted ? Reason.RESTARTED : reasonOf(before, update);
            mOut.add(new Changed(update.member(), update.state(), reason));
        }
    }

    private static Reason reasonOf(Optional<MemberUpdate> before, MemberUpdate update) {
        switch (update.state()) {
            case ALIVE:
                return before.isPresent() ? Reason.REFUTED : Reason.JOINED;
            case LEFT:
                return Reason.LEAVING;
            default:
                return Reason.REPORTED;
        }
    }

    /** Takes a decision of this daemon. */
    private void decide(long nowNanos, MemberUpdate update, Reason reason) {
        store(nowNanos, update, true);
        mQueue.add(update);
        mOut.add(new Changed(update.member(), update.state(), reason));
    }

    private void store(long nowNanos, MemberUpdate update, boolean own) {
        mTable.put(nowNanos, update);
        if (update.state() == MemberState.SUSPECT) {
            long deadline = nowNanos + mSettings.suspicionNanos(mTable.liveCount());
            mTable.suspect(update.name(), deadline, own);
        }
    }

    private void refute(MemberUpdate update) {
        boolean aboutThisRun = isSameMember(update, mSelf);
        boolean doubted = update.state() == MemberState.SUSPECT || !update.state().isLive();
        boolean current =
                update.refutation() >= mSelf.refutation()
                        && update.refutation() < MemberUpdate.MAX_REFUTATION;
        if (!aboutThisRun || !doubted || !current || mSelf.state() == MemberState.LEFT) {
            return;
        }
        mNeedsMembers |= update.state() == MemberState.DEAD;
        mSelf = mSelf.refuting(update.refutation());
        mQueue.add(mSelf);
    }

    private void probe(MemberUpdate target) {
        send(target, new Probe(mSelf, mSequence++, target.name(), updatesFor(target.name())));
    }

    private void probeSeed(Seed seed) {
        probeSeed(seed, mSequence++);
    }

    private void probeSeed(Seed seed, long sequence) {
        ImmutableList<MemberUpdate> updates = updatesFor(seed.name());
        mOut.add(new Send(seed.peerAddress(), new Probe(mSelf, sequence, seed.name(), updates)));
    }

    /**
     * Returns what to piggyback: first what the receiver has to refute, then what is new, then one
     * member at random, which repairs what earlier losses left out.
     */
    private ImmutableList<MemberUpdate> updatesFor(String receiver) {
        int left = MAX_DATAGRAM_BYTES - RESERVED_BYTES - mSelf.member().maxWireBytes();
        left -= Utf8.encodedLength(receiver);
        ImmutableList.Builder<MemberUpdate> updates = ImmutableList.builder();
        Optional<MemberUpdate> doubt =
                mTable.find(receiver).filter(update -> update.state() != MemberState.ALIVE);
        if (doubt.isPresent()) {
            updates.add(doubt.get());
            left -= doubt.get().member().maxWireBytes();
        }
        for (MemberUpdate update : mQueue.take(left, transmitLimit())) {
            updates.add(update);
            left -= update.member().maxWireBytes();
        }
        for (MemberUpdate update : mTable.sample(1, receiver)) {
            if (update.member().maxWireBytes() <= left) {
                updates.add(update);
            }
        }
        return updates.build();
    }

    private int transmitLimit() {
        return mSettings.transmitLimit(mTable.liveCount());
    }

    private void send(MemberUpdate to, MembershipMessage message) {
        mOut.add(new Send(to.member().peerAddress(), message));
    }

    private ImmutableList<MembershipCommand> takeCommands() {
        ImmutableList<MembershipCommand> commands = mOut.build();
        mOut = ImmutableList.builder();
        return commands;
    }
}
