package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertWithMessage;

import org.geraniumusher.model.Slice;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Runs members, servers and a store on a paused clock. After every step it checks that at most one
 * server would admit each slice. Not thread-safe.
 */
final class Simulation {
    static final String SERVICE = "catalogue";
    static final long MILLIS = 1_000_000;
    private static final long TICK_NANOS = 20 * MILLIS;
    private static final long GOSSIP_NANOS = 100 * MILLIS;
    private static final long STORE_TIMEOUT_NANOS = 200 * MILLIS;

    private final Random mRandom;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final SimulatedStore mStore = new SimulatedStore();
    private final Map<String, SimulatedMember> mMembers = new LinkedHashMap<>();
    private final Map<String, SimulatedServer> mServers = new LinkedHashMap<>();
    private final Map<String, ServerRole> mRoles = new LinkedHashMap<>();
    private final List<Grant> mGrants = new ArrayList<>();
    private long mNow;
    private long mSequence;
    private int mUnowned;

    /** Chance of a message to be lost, or doubled, or delayed by up to {@link #mMaxDelayNanos}. */
    private double mDisorder;

    private long mMaxDelayNanos;
    private double mLostAnswers;

    Simulation(long seed, int members, int servers) {
        mRandom = new Random(seed);
        for (int i = 0; i < servers; i++) {
            String name = "s" + i;
            mServers.put(name, new SimulatedServer(name, randomClock()));
            mRoles.put(name, new ServerRole(name, true, true));
        }
        for (int i = 0; i < members; i++) {
            SimulatedMember member =
                    new SimulatedMember(this, "d" + i, "dc" + i % 3, randomClock());
            mMembers.put("d" + i, member);
            member.start(1);
        }
        announceMembers();
        after(GOSSIP_NANOS, this::gossip);
    }

    /** Lets one daemon tell another the state it knows, as dissemination does. */
    private void gossip() {
        List<SimulatedMember> members = members();
        SimulatedMember from = members.get(mRandom.nextInt(members.size()));
        SimulatedMember to = members.get(mRandom.nextInt(members.size()));
        if (from.isUp()) {
            from.member()
                    .known()
                    .ifPresent(
                            state ->
                                    transmitBetween(
                                            from,
                                            to,
                                            () -> to.receive((m, now) -> m.onState(now, state))));
        }
        after(GOSSIP_NANOS, this::gossip);
    }

    private SimulatedClock randomClock() {
        // Two clocks that differ by less than the drift bound of 2,000 ppm.
        return new SimulatedClock(
                mRandom.nextInt() * MILLIS, 1 + (mRandom.nextDouble() - 0.5) * 0.0019);
    }

    void disorder(double chance, long maxDelayNanos, double lostAnswers) {
        mDisorder = chance;
        mMaxDelayNanos = maxDelayNanos;
        mLostAnswers = lostAnswers;
    }

    long now() {
        return mNow;
    }

    Random random() {
        return mRandom;
    }

    SimulatedStore store() {
        return mStore;
    }

    SimulatedMember member(String name) {
        return mMembers.get(name);
    }

    List<SimulatedMember> members() {
        return List.copyOf(mMembers.values());
    }

    SimulatedServer server(String name) {
        return mServers.get(name);
    }

    List<SimulatedServer> servers() {
        return List.copyOf(mServers.values());
    }

    List<Grant> grants() {
        return mGrants;
    }

    List<Slice> slices() {
        return mStore.state().isEmpty() ? List.of() : mStore.state().get().state().slices();
    }

    SimulatedMember coordinator() {
        String id = mStore.state().get().state().coordinator();
        return mMembers.get(MemberId.parse(id).name());
    }

    /** Tells all members which servers there are. */
    void setRole(ServerRole role) {
        mRoles.put(role.name(), role);
        for (SimulatedMember member : mMembers.values()) {
            member.receive((m, now) -> m.onServersChanged(now, mRoles.values()));
        }
    }

    Map<String, ServerRole> roles() {
        return mRoles;
    }

    /** Tells all members which daemons run, as membership does. */
    void announceMembers() {
        List<LiveMember> live = new ArrayList<>();
        mMembers.values().stream().filter(SimulatedMember::isUp).forEach(m -> live.add(m.live()));
        mMembers.values().forEach(m -> m.receive((s, now) -> s.onMembers(now, live)));
    }

    /** Reports the end of a run to all members, as the platform's list does. */
    void reportGone(MemberId id) {
        mMembers.values().forEach(m -> m.receive((s, now) -> s.onMemberGone(now, id)));
    }

    void after(long nanos, Runnable action) {
        mEvents.add(new Event(mNow + nanos, mSequence++, action));
    }

    /** Delivers a message once, several times, late or not at all. */
    void transmit(Runnable delivery) {
        int copies = 1;
        if (mRandom.nextDouble() < mDisorder) {
            copies = mRandom.nextInt(3);
        }
        for (int i = 0; i < copies; i++) {
            boolean late = mRandom.nextDouble() < mDisorder;
            long delay = late ? (long) (mRandom.nextDouble() * mMaxDelayNanos) : 0;
            after(MILLIS / 2 + mRandom.nextInt(500_000) + delay, delivery);
        }
    }

    private void transmitBetween(SimulatedMember from, SimulatedMember to, Runnable delivery) {
        if (!from.isIsolated() && !to.isIsolated()) {
            transmit(delivery);
        }
    }

    void runFor(long nanos) {
        long end = mNow + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= end) {
            step();
        }
        mNow = end;
    }

    /** Runs until the condition holds and returns how long that took; fails after the bound. */
    long runUntil(String what, long boundNanos, BooleanSupplier condition) {
        long start = mNow;
        while (!condition.getAsBoolean()) {
            step();
            if (mNow - start > boundNanos) {
                assertWithMessage("%s within %s ms: %s", what, boundNanos / MILLIS, describe())
                        .fail();
            }
        }
        return mNow - start;
    }

    private void step() {
        Event event = mEvents.poll();
        mNow = Math.max(mNow, event.atNanos());
        event.action().run();
        checkOwners();
    }

    String describe() {
        return mStore.state() + " at " + mNow / MILLIS + " ms";
    }

    /** Reports whether every slice is admitted by its recorded owner under its recorded epoch. */
    boolean isFullyServed() {
        return !slices().isEmpty() && slices().stream().allMatch(this::isServed);
    }

    boolean isServed(Slice slice) {
        SimulatedServer owner = mServers.get(slice.owner());
        return owner != null && owner.admits(mNow, slice.first(), slice.epoch());
    }

    private void checkOwners() {
        for (Slice slice : slices()) {
            String owner = "";
            for (SimulatedServer server : mServers.values()) {
                if (server.admits(mNow, slice.first())) {
                    if (!owner.isEmpty()) {
                        String owners = owner + " and " + server.name();
                        assertWithMessage("%s own %s: %s", owners, slice, describe()).fail();
                    }
                    owner = server.name();
                }
            }
            mUnowned += owner.isEmpty() ? 1 : 0;
        }
    }

    /** Returns how often a check found a slice that no server admitted. */
    int unowned() {
        return mUnowned;
    }

    /** Carries out one command of a member. */
    void execute(SimulatedMember member, OwnershipCommand command) {
        if (command instanceof OwnershipCommand.SendAuthorityRequest send) {
            SimulatedMember to = mMembers.get(send.request().to().name());
            transmitBetween(
                    member,
                    to,
                    () -> to.receive((m, now) -> m.onAuthorityRequest(now, send.request())));
        } else if (command instanceof OwnershipCommand.SendAuthorityAck send) {
            SimulatedMember to = mMembers.get(send.ack().to().name());
            transmitBetween(
                    member, to, () -> to.receive((m, now) -> m.onAuthorityAck(now, send.ack())));
        } else if (command instanceof OwnershipCommand.PollServer poll) {
            SimulatedServer server = mServers.get(poll.server());
            transmit(() -> server.receive(() -> status(member, server)));
        } else if (command instanceof OwnershipCommand.SendGrant send) {
            mGrants.add(send.grant());
            SimulatedServer server = mServers.get(send.server());
            transmit(() -> server.receive(() -> offer(member, server, send.grant())));
        } else if (command instanceof OwnershipCommand.ReadState) {
            after(MILLIS, () -> read(member));
        } else if (command instanceof OwnershipCommand.WriteState write) {
            after(MILLIS, () -> write(member, write));
        }
    }

    private void status(SimulatedMember member, SimulatedServer server) {
        long incarnation = server.holder().incarnation();
        long reading = server.reading(mNow);
        String name = server.name();
        transmit(
                () ->
                        member.receive(
                                (m, now) -> m.onServerStatus(now, name, incarnation, reading)));
    }

    private void offer(SimulatedMember member, SimulatedServer server, Grant grant) {
        if (server.offer(grant) instanceof GrantReply.Acknowledged reply) {
            acknowledge(member, server, reply.ack());
        }
    }

    void acknowledge(SimulatedMember member, SimulatedServer server, GrantAck ack) {
        transmit(() -> member.receive((m, now) -> m.onGrantAck(now, server.name(), ack)));
    }

    private void read(SimulatedMember member) {
        Optional<VersionedState> state = mStore.state();
        if (!mStore.isUp() || member.isIsolated()) {
            answer(member, STORE_TIMEOUT_NANOS, ShardMember::onReadUnavailable);
        } else if (state.isEmpty()) {
            answer(member, MILLIS, ShardMember::onReadAbsent);
        } else {
            answer(member, MILLIS, (m, now) -> m.onReadState(now, state.get()));
        }
    }

    private void write(SimulatedMember member, OwnershipCommand.WriteState write) {
        if (!mStore.isUp() || member.isIsolated()) {
            answer(member, STORE_TIMEOUT_NANOS, ShardMember::onWriteUnknown);
            return;
        }
        Optional<Long> version = mStore.write(write.expectedVersion(), write.state());
        if (mRandom.nextDouble() < mLostAnswers) {
            answer(member, STORE_TIMEOUT_NANOS, ShardMember::onWriteUnknown);
        } else if (version.isEmpty()) {
            answer(member, MILLIS, ShardMember::onWriteConflict);
        } else {
            mStore.acknowledge(write.state());
            answer(member, MILLIS, (m, now) -> m.onWriteWritten(now, version.get()));
        }
    }

    /** Delivers the answer of the store, unless the caller has ended meanwhile. */
    private void answer(SimulatedMember member, long nanos, SimulatedMember.Delivery delivery) {
        MemberId id = member.live().id();
        after(
                nanos,
                () -> {
                    if (member.live().id().equals(id)) {
                        member.receive(delivery);
                    }
                });
    }

    /** Schedules the next tick of a run of a member. */
    void scheduleTick(Runnable tick) {
        after(TICK_NANOS, tick);
    }

    /** Is an action at a time; actions of the same time run in order of their creation. */
    private record Event(long atNanos, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
