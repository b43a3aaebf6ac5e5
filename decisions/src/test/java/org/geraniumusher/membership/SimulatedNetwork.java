package org.geraniumusher.membership;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.membership.MembershipCommand.Changed;
import org.geraniumusher.membership.MembershipCommand.Send;
import org.geraniumusher.model.Address;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;

/** Connects failure detectors by a lossy network on a paused clock. All randomness is seeded. */
final class SimulatedNetwork {
    static final long TICK_NANOS = Duration.ofMillis(50).toNanos();
    static final long PERIOD_NANOS = DetectorSettings.DEFAULT.probePeriodNanos();

    private final Map<String, FailureDetector> mDetectors = new HashMap<>();
    private final List<Observed> mObserved = new ArrayList<>();
    private int mLargestBytes;
    private final Map<Address, String> mNames = new HashMap<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final Map<String, List<Event>> mPaused = new HashMap<>();
    private final Random mRandom;
    private BiPredicate<String, String> mCut = (from, to) -> false;
    private double mLoss;
    private long mNow = 1;
    private long mOrder;

    SimulatedNetwork(long seed) {
        mRandom = new Random(seed);
    }

    /** Is a change that a daemon saw. */
    record Observed(String by, Changed change, long atNanos) {}

    private record Event(long at, long order, String to, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** Returns a cluster whose members have found each other by seeds. */
    static SimulatedNetwork joined(int members, long seed) {
        SimulatedNetwork network = new SimulatedNetwork(seed);
        for (int i = 0; i < members; i++) {
            network.start(name(i), 1_000 + i);
        }
        network.run(20);
        return network;
    }

    static String name(int index) {
        return "d" + index;
    }

    static Member member(String name, long incarnation) {
        int port = 10_000 + Integer.parseInt(name.substring(1));
        Address address = new Address("127.0.0.1", port);
        String dataCentre = "dc" + port % 3;
        return new Member(name, incarnation, dataCentre, address, address, address);
    }

    void start(String name, long incarnation) {
        Member member = member(name, incarnation);
        mNames.put(member.peerAddress(), name);
        FailureDetector detector =
                FailureDetector.create(member, DetectorSettings.DEFAULT, mRandom.nextLong());
        mDetectors.put(name, detector);
        Seed first = new Seed(name(0), member(name(0), 1).peerAddress());
        schedule(mRandom.nextInt((int) TICK_NANOS), name, () -> tick(name, detector));
        perform(name, detector.onSeeds(mNow, ImmutableList.of(first)));
    }

    void stop(String name) {
        mDetectors.remove(name);
    }

    void pause(String name) {
        mPaused.put(name, new ArrayList<>());
    }

    void resume(String name) {
        for (Event event : mPaused.remove(name)) {
            mEvents.add(new Event(mNow, event.order(), name, event.action()));
        }
    }

    void setLoss(double loss) {
        mLoss = loss;
    }

    void setCut(BiPredicate<String, String> cut) {
        mCut = cut;
    }

    /** Runs for a number of probe periods. */
    void run(int periods) {
        long end = mNow + periods * PERIOD_NANOS;
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.poll();
            mNow = event.at();
            if (mPaused.containsKey(event.to())) {
                mPaused.get(event.to()).add(event);
            } else {
                event.action().run();
            }
        }
        mNow = end;
    }

    /** Returns the state that {@code by} holds of {@code about}. */
    MemberState state(String by, String about) {
        return mDetectors.get(by).find(about).orElseThrow().state();
    }

    /** Reports whether all running members hold each other alive. */
    boolean isConverged() {
        return mDetectors.values().stream().allMatch(d -> d.alive().size() == mDetectors.size());
    }

    void perform(String by, List<MembershipCommand> commands) {
        for (MembershipCommand command : commands) {
            if (command instanceof Send send) {
                transmit(by, send);
            } else {
                mObserved.add(new Observed(by, (Changed) command, mNow));
            }
        }
    }

    FailureDetector detector(String name) {
        return mDetectors.get(name);
    }

    /** Returns the names of the running members. */
    Set<String> names() {
        return mDetectors.keySet();
    }

    /** Returns the changes seen since {@link #forgetChanges}. */
    List<Observed> changes() {
        return mObserved;
    }

    void forgetChanges() {
        mObserved.clear();
    }

    /** Returns the upper bound of the largest datagram sent. */
    int largestBytes() {
        return mLargestBytes;
    }

    long now() {
        return mNow;
    }

    private void transmit(String from, Send send) {
        measure(send.message());
        String to = mNames.getOrDefault(send.to(), "");
        if (to.isEmpty() || mCut.test(from, to) || mRandom.nextDouble() < mLoss) {
            return;
        }
        schedule(1_000_000 + mRandom.nextInt(4_000_000), to, () -> deliver(to, send.message()));
    }

    private void measure(MembershipMessage message) {
        if (!(message instanceof MembershipMessage.MembersReply)) {
            int bytes = FailureDetector.RESERVED_BYTES + message.sender().member().maxWireBytes();
            for (MemberUpdate update : message.updates()) {
                bytes += update.member().maxWireBytes();
            }
            mLargestBytes = Math.max(mLargestBytes, bytes);
        }
    }

    private void deliver(String to, MembershipMessage message) {
        FailureDetector detector = mDetectors.get(to);
        if (detector != null) {
            perform(to, detector.onMessage(mNow, message));
        }
    }

    private void tick(String name, FailureDetector detector) {
        if (mDetectors.get(name) == detector) {
            perform(name, detector.onTick(mNow));
            schedule(TICK_NANOS, name, () -> tick(name, detector));
        }
    }

    private void schedule(long delay, String to, Runnable action) {
        mEvents.add(new Event(mNow + delay, mOrder++, to, action));
    }
}
