package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The servers of a {@link RangeSimulation} with their faults, and the check that no key has two
 * holders among them. Not thread-safe.
 */
final class SimulatedServers {
    /** One of so many requests is long. */
    private static final int LONG_REQUEST_INTERVAL = 20;

    private static final long MAX_USUAL_REQUEST_NANOS = 400 * RangeSimulation.MILLI;
    private static final long MAX_REQUEST_NANOS = 6_000 * RangeSimulation.MILLI;

    private final LongSupplier mClock;
    private final Map<String, SimulatedKeyServer> mServers = new LinkedHashMap<>();
    private final Map<String, Long> mIsolatedUntil = new HashMap<>();
    private final Map<String, Long> mOutOfServiceUntil = new HashMap<>();
    private final Map<String, Long> mRefusingUntil = new HashMap<>();

    /** Servers whose address another server uses, after their end. */
    private final Set<String> mReplaced = new HashSet<>();

    private boolean mEntriesStay;

    SimulatedServers(LongSupplier clock) {
        mClock = clock;
    }

    /** Adds a server whose clock runs at {@code clockRate} of the true rate. */
    void add(String incarnationId, double clockRate) {
        mServers.put(incarnationId, new SimulatedKeyServer(incarnationId, clockRate));
    }

    SimulatedKeyServer get(String incarnationId) {
        return mServers.get(incarnationId);
    }

    private SimulatedKeyServer get(int index) {
        return new ArrayList<>(mServers.values()).get(index % mServers.size());
    }

    Collection<SimulatedKeyServer> all() {
        return mServers.values();
    }

    boolean isReplaced(String incarnationId) {
        return mReplaced.contains(incarnationId);
    }

    /** Ends a server. Its address refuses connections from now on. */
    void crash(int index) {
        get(index).crash();
    }

    /** Ends a server and gives its address to another one, which answers the calls to it. */
    void replace(int index) {
        crash(index);
        mReplaced.add(get(index).incarnationId());
    }

    /**
     * Cuts off a running server for {@code nanos} by a cut that refuses connections, as the address
     * of a server that has ended does. The coordinators see it as not accepting ranges.
     */
    void refuseConnections(int index, long nanos) {
        String incarnationId = get(index).incarnationId();
        mRefusingUntil.put(incarnationId, mClock.getAsLong() + nanos);
    }

    boolean isRefusing(String incarnationId) {
        return !mServers.get(incarnationId).isUp()
                || mClock.getAsLong() < mRefusingUntil.getOrDefault(incarnationId, 0L);
    }

    /**
     * Isolates a running server from the daemons and the store for {@code nanos}. The coordinators
     * see it as not accepting ranges, and calls to it get no answer.
     */
    void isolate(int index, long nanos) {
        String incarnationId = get(index).incarnationId();
        mIsolatedUntil.put(incarnationId, mClock.getAsLong() + nanos);
    }

    boolean isIsolated(String incarnationId) {
        return mClock.getAsLong() < mIsolatedUntil.getOrDefault(incarnationId, 0L);
    }

    /**
     * Takes a server out of service for {@code nanos}, as when it leaves or is drained. The
     * coordinators see it as not accepting ranges, but it answers all calls.
     */
    void takeOutOfService(int index, long nanos) {
        String incarnationId = get(index).incarnationId();
        mOutOfServiceUntil.put(incarnationId, mClock.getAsLong() + nanos);
    }

    boolean acceptsRanges(SimulatedKeyServer server) {
        String incarnationId = server.incarnationId();
        boolean isInService =
                mClock.getAsLong() >= mOutOfServiceUntil.getOrDefault(incarnationId, 0L);
        boolean isReached =
                server.isUp() && !isIsolated(incarnationId) && !isRefusing(incarnationId);
        return isInService && (mEntriesStay || isReached);
    }

    /** Lets lost servers stay in service from now on, as when their entries stay in the store. */
    void keepEntries() {
        mEntriesStay = true;
    }

    /** Returns the number of keys that have a holder. */
    int keysHeld() {
        boolean[] held = new boolean[KeyRange.MAX_KEY + 1];
        for (SimulatedKeyServer server : mServers.values()) {
            for (KeyRange range : server.held(mClock.getAsLong())) {
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

    /** Begins a request at each server, for a random key that it holds. A few take seconds. */
    void beginRequests(Random random) {
        for (SimulatedKeyServer server : mServers.values()) {
            boolean isLong = random.nextInt(LONG_REQUEST_INTERVAL) == 0;
            long limit = isLong ? MAX_REQUEST_NANOS : MAX_USUAL_REQUEST_NANOS;
            long duration = (long) (random.nextDouble() * limit);
            List<KeyRange> held = server.held(mClock.getAsLong());
            if (server.isUp() && !held.isEmpty()) {
                KeyRange range = held.get(random.nextInt(held.size()));
                int offset = random.nextInt(range.last() - range.first() + 1);
                server.begin(range.first() + offset, duration, mClock.getAsLong());
            }
        }
    }

    /** Checks that no other running server is at work on keys that a server has just been given. */
    void checkNoOtherIsAtWork(Assignment given) {
        for (SimulatedKeyServer server : mServers.values()) {
            if (server.isUp() && !server.incarnationId().equals(given.owner())) {
                assertWithMessage(
                                "%s is at work on keys of %s at %s ms",
                                server.incarnationId(),
                                given,
                                mClock.getAsLong() / RangeSimulation.MILLI)
                        .that(server.isAtWork(given.range(), mClock.getAsLong()))
                        .isFalse();
            }
        }
    }

    void checkNoKeyHasTwoHolders() {
        List<SimulatedKeyServer> up =
                mServers.values().stream().filter(SimulatedKeyServer::isUp).toList();
        for (int i = 0; i < up.size(); i++) {
            for (int j = i + 1; j < up.size(); j++) {
                for (KeyRange a : up.get(i).held(mClock.getAsLong())) {
                    for (KeyRange b : up.get(j).held(mClock.getAsLong())) {
                        assertWithMessage(
                                        "%s holds %s and %s holds %s at %s ms",
                                        up.get(i).incarnationId(),
                                        a,
                                        up.get(j).incarnationId(),
                                        b,
                                        mClock.getAsLong() / RangeSimulation.MILLI)
                                .that(a.overlaps(b))
                                .isFalse();
                    }
                }
            }
        }
    }
}
