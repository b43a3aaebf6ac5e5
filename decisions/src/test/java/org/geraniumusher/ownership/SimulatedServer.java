package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Runs a {@link GrantHolder} beside a naive version that keeps the last grant in a variable, and
 * checks that both admit the same requests.
 */
final class SimulatedServer {
    private static final String SERVICE = Simulation.SERVICE;

    /** Epochs of a slice that are tried at each check; older ones have long expired. */
    private static final int MAX_EPOCHS = 6;

    private final String mName;
    private final SimulatedClock mClock;
    private GrantHolder mHolder = GrantHolder.create(1);
    private Optional<Grant> mNaive = Optional.empty();
    private final Map<Long, TreeSet<Long>> mOfferedEpochs = new HashMap<>();
    private final List<Runnable> mDeferred = new ArrayList<>();
    private boolean mFrozen;
    private boolean mUp = true;

    SimulatedServer(String name, SimulatedClock clock) {
        mName = name;
        mClock = clock;
    }

    String name() {
        return mName;
    }

    GrantHolder holder() {
        return mHolder;
    }

    long reading(long trueNanos) {
        return mClock.at(trueNanos);
    }

    void crash() {
        mUp = false;
        mDeferred.clear();
    }

    void restart() {
        mUp = true;
        mFrozen = false;
        mDeferred.clear();
        mHolder = GrantHolder.create(mHolder.incarnation() + 1);
        mNaive = Optional.empty();
    }

    void freeze() {
        mFrozen = true;
    }

    void thaw() {
        mFrozen = false;
        List<Runnable> deferred = List.copyOf(mDeferred);
        mDeferred.clear();
        deferred.forEach(Runnable::run);
    }

    boolean isUp() {
        return mUp;
    }

    /** Runs the handling of a message, at once or when the server thaws. */
    void receive(Runnable handling) {
        if (mUp && mFrozen) {
            mDeferred.add(handling);
        } else if (mUp) {
            handling.run();
        }
    }

    GrantReply offer(Grant grant) {
        for (GrantRange range : grant.ranges()) {
            TreeSet<Long> epochs =
                    mOfferedEpochs.computeIfAbsent(range.first(), f -> new TreeSet<>());
            epochs.add(range.epoch());
            if (epochs.size() > MAX_EPOCHS) {
                epochs.pollFirst();
            }
        }
        boolean newer =
                mNaive.isEmpty()
                        || grant.version() > mNaive.get().version()
                        || (grant.version() == mNaive.get().version()
                                && grant.readingNanos() > mNaive.get().readingNanos());
        if (grant.incarnation() == mHolder.incarnation() && newer) {
            mNaive = Optional.of(grant);
        }
        return mHolder.onGrant(grant);
    }

    /** Reports whether the server would admit a request for the slice under any epoch. */
    boolean admits(long trueNanos, long first) {
        boolean any = false;
        for (long epoch : mOfferedEpochs.getOrDefault(first, new TreeSet<>())) {
            boolean admitted = admits(trueNanos, first, epoch);
            if (admitted != naivelyAdmits(trueNanos, first, epoch)) {
                assertWithMessage("%s admits %s at epoch %s: %s", mName, first, epoch, admitted)
                        .fail();
            }
            any |= admitted;
        }
        return any;
    }

    boolean admits(long trueNanos, long first, long epoch) {
        return mUp
                && !mFrozen
                && mHolder.check(reading(trueNanos), SERVICE, first, epoch).isAdmitted();
    }

    private boolean naivelyAdmits(long trueNanos, long first, long epoch) {
        if (!mUp || mFrozen || mNaive.isEmpty()) {
            return false;
        }
        Grant grant = mNaive.get();
        return reading(trueNanos) < grant.expiryNanos()
                && grant.ranges().stream().anyMatch(r -> r.first() == first && r.epoch() == epoch);
    }
}
