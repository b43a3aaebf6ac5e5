package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.StoreVersion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates coordinators, servers and a store on a virtual clock with random faults: lost answers,
 * late execution of calls, crashes, store outages, and coordinators that are paused, killed and
 * restarted. After each event it checks that no key has two holders. Not thread-safe.
 */
final class RangeSimulation {
    static final long MILLI = 1_000_000L;
    private static final long HOLD_NANOS = 10_000 * MILLI;
    private static final long TICK_NANOS = 100 * MILLI;

    private final Random mRandom;

    /** A separate generator, so that what daemons observe does not change the faults of a seed. */
    private final Random mObservationRandom;

    private final Map<String, SimulatedKeyServer> mServers = new LinkedHashMap<>();
    private final Map<String, Long> mIsolatedUntil = new HashMap<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private Optional<CoordinatorRecord> mRecord = Optional.empty();
    private Optional<RangeTable> mTable = Optional.empty();
    private long mNow;
    private long mSequence;
    private long mRevision = 10;
    private double mLossRate;
    private boolean mStoreDown;
    private int mMoves;

    private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at
                    ? Long.compare(at, other.at)
                    : Long.compare(sequence, other.sequence);
        }
    }

    RangeSimulation(long seed, int servers, int daemons) {
        mRandom = new Random(seed);
        mObservationRandom = new Random(seed);
        for (int i = 0; i < servers; i++) {
            addServer("s" + i);
        }
        for (int i = 0; i < daemons; i++) {
            Daemon daemon = new Daemon("d" + i, 1);
            mDaemons.add(daemon);
            after(i * 7 * MILLI, daemon::tick);
        }
    }

    void addServer(String incarnationId) {
        mServers.put(
                incarnationId,
                new SimulatedKeyServer(incarnationId, 1 - 0.02 * mRandom.nextDouble()));
    }

    /**
     * Sets the probability that an answer is lost; half of the lost writes and grants are executed
     * late.
     */
    void setLossRate(double rate) {
        mLossRate = rate;
    }

    void setStoreDown(boolean down) {
        mStoreDown = down;
    }

    void crashServer(int index) {
        new ArrayList<>(mServers.values()).get(index % mServers.size()).crash();
    }

    /**
     * Isolates a running server from the daemons and the store for {@code nanos}. The coordinators
     * see it as not accepting ranges, and calls to it get no answer.
     */
    void isolateServer(int index, long nanos) {
        String incarnationId = new ArrayList<>(mServers.keySet()).get(index % mServers.size());
        mIsolatedUntil.put(incarnationId, mNow + nanos);
    }

    private boolean isIsolated(String incarnationId) {
        return mNow < mIsolatedUntil.getOrDefault(incarnationId, 0L);
    }

    /** Kills a daemon and starts it again, without its state, after {@code downNanos}. */
    void restartDaemon(int index, long downNanos) {
        Daemon old = mDaemons.get(index % mDaemons.size());
        old.mAlive = false;
        Daemon next = new Daemon(old.mName, old.mIncarnation + 1);
        mDaemons.set(index % mDaemons.size(), next);
        after(downNanos, next::tick);
    }

    /** Pauses a daemon for {@code nanos}; its calls in flight still take effect. */
    void pauseDaemon(int index, long nanos) {
        Daemon daemon = mDaemons.get(index % mDaemons.size());
        daemon.mPausedUntil = mNow + nanos;
    }

    /** Adds work for a key to the load that each daemon has counted. */
    void addLoad(int key, double work) {
        mDaemons.forEach(d -> d.mLoad.add(key, work, mNow));
    }

    int moves() {
        return mMoves;
    }

    RangeTable table() {
        return mTable.orElseThrow();
    }

    /** Runs the simulation for {@code nanos}. */
    void run(long nanos) {
        long end = mNow + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().at <= end) {
            Event event = mEvents.poll();
            mNow = event.at;
            event.task.run();
            checkNoKeyHasTwoHolders();
        }
        mNow = end;
    }

    /** Returns the number of keys that have a holder. */
    int keysHeld() {
        boolean[] held = new boolean[KeyRange.MAX_KEY + 1];
        for (SimulatedKeyServer server : mServers.values()) {
            for (KeyRange range : server.held(mNow)) {
                for (int key = range.first(); key <= range.last(); key++) {
                    held[key] = true;
                }
            }
        }
        int count = 0;
        for (boolean b : held) {
            count += b ? 1 : 0;
        }
        return count;
    }

    private void checkNoKeyHasTwoHolders() {
        List<SimulatedKeyServer> up =
                mServers.values().stream().filter(SimulatedKeyServer::isUp).toList();
        for (int i = 0; i < up.size(); i++) {
            for (int j = i + 1; j < up.size(); j++) {
                for (KeyRange a : up.get(i).held(mNow)) {
                    for (KeyRange b : up.get(j).held(mNow)) {
                        assertWithMessage(
                                        "%s holds %s and %s holds %s at %s ms",
                                        up.get(i).incarnationId(),
                                        a,
                                        up.get(j).incarnationId(),
                                        b,
                                        mNow / MILLI)
                                .that(a.overlaps(b))
                                .isFalse();
                    }
                }
            }
        }
    }

    private void after(long nanos, Runnable task) {
        mEvents.add(new Event(mNow + nanos, mSequence++, task));
    }

    private long delay() {
        return (long) ((1 + 4 * mRandom.nextDouble()) * MILLI);
    }

    /** A daemon with its election and its coordinator. */
    private final class Daemon implements RangeCoordinator.OutgoingCalls {
        private final String mName;
        private final long mIncarnation;
        private final CoordinatorElection mElection;
        private final KeyLoad mLoad = KeyLoad.create(0);
        private final FormerHolders mFormerHolders = FormerHolders.create();
        private RangeCoordinator mCoordinator;
        private boolean mAlive = true;
        private boolean mCalling;
        private boolean mReading;
        private long mPausedUntil;
        private long mNextPoll;

        Daemon(String name, long incarnation) {
            mName = name;
            mIncarnation = incarnation;
            mElection = CoordinatorElection.create(name, incarnation);
            mCoordinator = RangeCoordinator.create(this, HOLD_NANOS, mLoad, mFormerHolders);
        }

        private void whenRunning(Runnable task) {
            if (mAlive && mNow < mPausedUntil) {
                after(mPausedUntil - mNow, () -> whenRunning(task));
            } else if (mAlive) {
                task.run();
            }
        }

        void tick() {
            if (!mAlive) {
                return;
            }
            after(TICK_NANOS, this::tick);
            if (mNow < mPausedUntil) {
                return;
            }
            // A daemon may see a table at any time after the write, even before its writer does.
            if (mObservationRandom.nextBoolean()) {
                mTable.ifPresent(t -> mFormerHolders.onTable(t, false, mNow));
            }
            if (!mCalling && mElection.shouldWrite(mNow)) {
                writeRecord();
            } else if (!mCalling && !mElection.hasAuthority(mNow) && mNow >= mNextPoll) {
                mNextPoll = mNow + 1_000 * MILLI;
                readStore(() -> {}, () -> mElection.onRead(mRecord, mNow));
            }
            advanceCoordinator();
        }

        private void advanceCoordinator() {
            if (!mElection.hasAuthority(mNow)) {
                return;
            }
            mCoordinator.setStoreStatus(
                    mElection.confirmedAt(), mElection.isStoreUnavailable(mNow));
            mCoordinator.onServers(
                    mServers.values().stream()
                            .map(
                                    s ->
                                            new RangeServer(
                                                    s.incarnationId(),
                                                    6,
                                                    s.isUp() && !isIsolated(s.incarnationId())))
                            .toList());
            if (!mCoordinator.isStarted()) {
                if (!mReading) {
                    mReading = true;
                    RangeCoordinator term = mCoordinator;
                    readStore(
                            () -> mReading = false,
                            () -> {
                                mReading = false;
                                if (term == mCoordinator && !term.isStarted()) {
                                    term.start(
                                            mTable, mElection.formerCoordinatorConfirmedBy(), mNow);
                                }
                            });
                }
                return;
            }
            mCoordinator.tick(mNow);
        }

        /** Makes a read of the store, whose answer may be lost. */
        private void readStore(Runnable onLost, Runnable onAnswer) {
            boolean lost = mStoreDown || mRandom.nextDouble() < mLossRate;
            after(lost ? 1_500 * MILLI : delay(), () -> whenRunning(lost ? onLost : onAnswer));
        }

        private void writeRecord() {
            mCalling = true;
            long sentAt = mNow;
            Optional<CoordinatorRecord> known = mElection.record();
            boolean newTerm =
                    known.map(r -> !r.daemon().equals(mName) || r.incarnation() != mIncarnation)
                            .orElse(true);
            long expected = known.map(r -> r.version().revision()).orElse(0L);
            long[] written = new long[1];
            write(
                    () -> {
                        if (mRecord.map(r -> r.version().revision()).orElse(0L) == expected) {
                            mRecord =
                                    Optional.of(
                                            new CoordinatorRecord(
                                                    mName,
                                                    mIncarnation,
                                                    "peer",
                                                    new StoreVersion(0, ++mRevision)));
                            written[0] = mRevision;
                        }
                    },
                    () -> {
                        mCalling = false;
                        if (written[0] != 0) {
                            if (newTerm) {
                                mCoordinator =
                                        RangeCoordinator.create(
                                                this, HOLD_NANOS, mLoad, mFormerHolders);
                            }
                            mElection.onWritten(
                                    new CoordinatorRecord(
                                            mName,
                                            mIncarnation,
                                            "peer",
                                            new StoreVersion(0, written[0])),
                                    sentAt,
                                    mNow);
                        } else {
                            mElection.onRead(mRecord, mNow);
                        }
                        advanceCoordinator();
                    },
                    () -> mCalling = false);
        }

        /** Makes a write that may be lost, executed without an answer, or executed late. */
        private void write(Runnable effect, Runnable onAnswer, Runnable onUnknown) {
            boolean lost = mStoreDown || mRandom.nextDouble() < mLossRate;
            if (lost) {
                if (!mStoreDown && mRandom.nextBoolean()) {
                    after((long) (mRandom.nextDouble() * 6_000 * MILLI), effect);
                }
                after(1_500 * MILLI, () -> whenRunning(onUnknown));
                return;
            }
            after(
                    delay(),
                    () -> {
                        effect.run();
                        after(delay(), () -> whenRunning(onAnswer));
                    });
        }

        @Override
        public void write(ImmutableList<Assignment> assignments, long expectedRevision) {
            RangeCoordinator term = mCoordinator;
            boolean[] written = new boolean[1];
            long[] revision = new long[1];
            write(
                    () -> {
                        if (mTable.map(t -> t.version().revision()).orElse(0L)
                                == expectedRevision) {
                            mTable =
                                    Optional.of(
                                            RangeTable.of(
                                                    new StoreVersion(0, ++mRevision), assignments));
                            written[0] = true;
                            revision[0] = mRevision;
                            mMoves +=
                                    (int) assignments.stream().filter(Assignment::isMoving).count();
                        }
                    },
                    () -> {
                        if (written[0]) {
                            term.onWritten(new StoreVersion(0, revision[0]), mNow);
                            term.table().ifPresent(this::sendTable);
                        } else {
                            term.onWriteConflict(mTable.orElseThrow(), mNow);
                        }
                        advanceCoordinator();
                    },
                    () -> term.onWriteUnknown(mNow));
        }

        private void sendTable(RangeTable table) {
            for (Daemon other : mDaemons) {
                after(
                        (long) (5 * mObservationRandom.nextDouble() * MILLI),
                        () ->
                                other.whenRunning(
                                        () -> other.mFormerHolders.onTable(table, true, mNow)));
            }
        }

        @Override
        public void grant(Assignment assignment, long holdNanos, Optional<String> handover) {
            RangeCoordinator term = mCoordinator;
            SimulatedKeyServer server = mServers.get(assignment.owner());
            long arrival = mNow + delay();
            boolean isolated = isIsolated(assignment.owner());
            boolean lost = mRandom.nextDouble() < mLossRate || isolated;
            boolean late = lost && mRandom.nextBoolean();
            long executedAt = arrival + (late ? (long) (mRandom.nextDouble() * 9_000 * MILLI) : 0);
            boolean[] accepted = new boolean[1];
            after(
                    executedAt - mNow,
                    () -> {
                        if (server.isUp() && !isolated) {
                            accepted[0] =
                                    server.grant(
                                            assignment.range(),
                                            assignment.fence(),
                                            holdNanos,
                                            arrival);
                        }
                    });
            if (lost || !server.isUp()) {
                after(800 * MILLI, () -> whenRunning(() -> term.onGrantUnknown(assignment, mNow)));
                return;
            }
            after(
                    arrival - mNow + delay(),
                    () ->
                            whenRunning(
                                    () -> {
                                        if (accepted[0]) {
                                            term.onGranted(assignment, mNow);
                                        } else if (server.isUp()) {
                                            term.onGrantFenced(assignment);
                                        } else {
                                            term.onGrantUnknown(assignment, mNow);
                                        }
                                        advanceCoordinator();
                                    }));
        }

        @Override
        public void release(String incarnationId, KeyRange range, long fence) {
            RangeCoordinator term = mCoordinator;
            SimulatedKeyServer server = mServers.get(incarnationId);
            boolean lost = mRandom.nextDouble() < mLossRate;
            if (isIsolated(incarnationId)) {
                after(
                        1_000 * MILLI,
                        () ->
                                whenRunning(
                                        () ->
                                                term.onReleaseUnknown(
                                                        incarnationId, range, fence, mNow)));
                return;
            }
            after(
                    delay(),
                    () -> {
                        if (!server.isUp()) {
                            whenRunning(() -> term.onTerminated(incarnationId));
                            return;
                        }
                        Optional<String> handover = server.release(range);
                        long work = (long) (mRandom.nextDouble() * 400 * MILLI);
                        after(
                                lost ? 4_000 * MILLI : work,
                                () ->
                                        whenRunning(
                                                () -> {
                                                    if (lost) {
                                                        term.onReleaseUnknown(
                                                                incarnationId, range, fence, mNow);
                                                    } else {
                                                        term.onReleased(
                                                                incarnationId,
                                                                range,
                                                                fence,
                                                                handover);
                                                    }
                                                    advanceCoordinator();
                                                }));
                    });
        }
    }
}
