package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;

/** Runs a {@link ShardMember} that can be paused, crashed and restarted. */
final class SimulatedMember {
    private static final int SLICES = 8;

    private final Simulation mSimulation;
    private final String mName;
    private final String mDataCentre;
    private final SimulatedClock mClock;
    private final List<Delivery> mDeferred = new ArrayList<>();
    private ShardMember mMember;
    private long mIncarnation;
    private long mVersion;
    private boolean mUp;
    private boolean mPaused;
    private boolean mIsolated;

    SimulatedMember(Simulation simulation, String name, String dataCentre, SimulatedClock clock) {
        mSimulation = simulation;
        mName = name;
        mDataCentre = dataCentre;
        mClock = clock;
    }

    /** Is the handling of one event at a time of the member's clock. */
    interface Delivery {
        List<OwnershipCommand> deliver(ShardMember member, long nowNanos);
    }

    LiveMember live() {
        return new LiveMember(new MemberId(mName, mIncarnation), mDataCentre);
    }

    ShardMember member() {
        return mMember;
    }

    long localNow() {
        return mClock.at(mSimulation.now());
    }

    boolean isUp() {
        return mUp;
    }

    /** Cuts the member off from other members and the store, but not from the servers. */
    void isolate(boolean isolated) {
        mIsolated = isolated;
    }

    boolean isIsolated() {
        return mIsolated;
    }

    void start(long incarnation) {
        mIncarnation = incarnation;
        mUp = true;
        mPaused = false;
        mVersion = 0;
        mDeferred.clear();
        mMember =
                ShardMember.builder(Simulation.SERVICE, live())
                        .initialSlices(SLICES)
                        .maxInFlight(2)
                        .build();
        receive((m, now) -> m.onServersChanged(now, mSimulation.roles().values()));
        mSimulation.scheduleTick(() -> tick(incarnation));
    }

    void crash() {
        mUp = false;
        mPaused = false;
        mDeferred.clear();
    }

    void restart() {
        start(mIncarnation + 1);
    }

    void pause() {
        mPaused = mUp;
    }

    /** Wakes the member, which handles what has arrived before its next tick. */
    void resume() {
        if (mPaused) {
            mPaused = false;
            List<Delivery> deferred = List.copyOf(mDeferred);
            mDeferred.clear();
            deferred.forEach(this::receive);
        }
    }

    void receive(Delivery delivery) {
        if (mUp && mPaused) {
            mDeferred.add(delivery);
        } else if (mUp) {
            List<OwnershipCommand> commands = delivery.deliver(mMember, localNow());
            checkVersion();
            commands.forEach(c -> mSimulation.execute(this, c));
        }
    }

    private void checkVersion() {
        long version = mMember.known().map(VersionedState::version).orElse(0L);
        assertWithMessage("version known to %s", live()).that(version).isAtLeast(mVersion);
        mVersion = version;
    }

    private void tick(long incarnation) {
        if (incarnation == mIncarnation && mUp) {
            if (!mPaused) {
                receive(ShardMember::onTick);
            }
            mSimulation.scheduleTick(() -> tick(incarnation));
        }
    }
}
