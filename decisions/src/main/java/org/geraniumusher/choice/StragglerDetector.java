package org.geraniumusher.choice;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.agrona.collections.Long2LongHashMap;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects servers that are slow compared with the other servers of their service.
 *
 * <p>A server's figure is the median of its last latencies, where a request in flight counts with
 * its age once that exceeds the median of the peers: a server ten times slower shows before its
 * answers arrive. Ages include the wait in the gateway's queue, so they count only while that queue
 * is empty: an overloaded server is no straggler. Medians, because one answer of a heavy tail must
 * not mark a server. Invariant: at most a third of the servers are stragglers at a time, the
 * slowest ones. Call {@link #evaluate} every {@code EVALUATION_NANOS}. Not thread-safe.
 */
public final class StragglerDetector {
    /** Time between evaluations; detection takes two to four of them. */
    public static final long EVALUATION_NANOS = 50_000_000;

    private static final double SLOW_FACTOR = 3;
    private static final double NORMAL_FACTOR = 1.5;
    private static final int MAX_SHARE_DIVISOR = 3;
    private static final int MIN_SAMPLES = 5;

    /** A straggler gets few requests, so that two fast answers in a row must be enough. */
    private static final int RETURN_SAMPLES = 2;

    private static final double STRAGGLER_WEIGHT = 0.05;
    private static final long NO_VALUE = Long.MIN_VALUE;

    private final Map<String, Server> mServers = new LinkedHashMap<>();
    private double mNormalNanos;

    private StragglerDetector() {}

    /** Returns a detector without servers. */
    public static StragglerDetector create() {
        return new StragglerDetector();
    }

    /** Sets the servers of the service; those that stay keep their state. */
    public void setServers(List<String> names) {
        mServers.keySet().retainAll(names);
        names.forEach(name -> mServers.computeIfAbsent(name, n -> new Server()));
    }

    /** Notes that request {@code id} was sent. */
    public void started(String server, long id, long nowNanos) {
        Server state = mServers.get(server);
        if (state != null) {
            state.mPending.put(id, nowNanos);
        }
    }

    /**
     * Takes the answer to a request: its time at the server, without the queue of the gateway, and
     * the requests that waited there.
     */
    public void answered(String server, long id, long serviceNanos, int queued) {
        checkArgument(serviceNanos >= 0, "bad serviceNanos: %s", serviceNanos);
        Server state = mServers.get(server);
        if (state != null && state.mPending.remove(id) != NO_VALUE) {
            state.add(serviceNanos);
            state.mQueued = queued;
        }
    }

    /**
     * Takes the cancellation of a request. Its age is a lower bound of its latency, so it counts
     * only when longer than normal; otherwise hedges would hide the slow server that causes them.
     */
    public void cancelled(String server, long id, long nowNanos) {
        Server state = mServers.get(server);
        long start = state == null ? NO_VALUE : state.mPending.remove(id);
        if (start != NO_VALUE
                && state.mQueued == 0
                && mNormalNanos > 0
                && nowNanos - start > mNormalNanos) {
            state.add(nowNanos - start);
        }
    }

    /** Forgets a request that never ran. */
    public void refused(String server, long id) {
        Server state = mServers.get(server);
        if (state != null) {
            state.mPending.remove(id);
        }
    }

    /** Finds the stragglers anew. */
    public void evaluate(long nowNanos) {
        double normal = normalNanos();
        mNormalNanos = normal;
        if (normal == 0) {
            return;
        }
        List<Server> slow = new ArrayList<>();
        for (Server server : mServers.values()) {
            server.mFigure = server.median(nowNanos, normal);
            boolean stays = server.mStraggler && !server.isBack(NORMAL_FACTOR * normal);
            if (stays || (!server.mStraggler && server.mFigure > SLOW_FACTOR * normal)) {
                slow.add(server);
            } else {
                server.setStraggler(false);
            }
        }
        slow.sort(Comparator.comparingDouble((Server s) -> s.mFigure).reversed());
        int most = mServers.size() / MAX_SHARE_DIVISOR;
        for (int i = 0; i < slow.size(); i++) {
            slow.get(i).setStraggler(i < most);
        }
    }

    /** Returns whether the server is a straggler now. */
    public boolean isStraggler(String server) {
        Server state = mServers.get(checkNotNull(server, "server"));
        return state != null && state.mStraggler;
    }

    /** Returns the share of its normal work that a server of an unkeyed service gets. */
    public double weight(String server) {
        return isStraggler(server) ? STRAGGLER_WEIGHT : 1;
    }

    /** Returns the requests that a server of a keyed service may run at once. */
    public int concurrencyLimit(String server, int slots) {
        checkArgument(slots >= 1, "bad slots: %s", slots);
        return isStraggler(server) ? Math.max(1, slots / 2) : slots;
    }

    /** Returns the median over the servers of their medians; 0 when too little is known. */
    private double normalNanos() {
        double[] medians =
                mServers.values().stream()
                        .filter(s -> s.mCount >= MIN_SAMPLES)
                        .mapToDouble(Server::answeredMedian)
                        .sorted()
                        .toArray();
        return medians.length * 2 < mServers.size() ? 0 : lowerMedian(medians);
    }

    private static double lowerMedian(double[] sorted) {
        return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }

    /** Holds the recent latencies of one server. Not thread-safe. */
    private static final class Server {
        private static final int WINDOW = 9;

        private final Long2LongHashMap mPending = new Long2LongHashMap(NO_VALUE);
        private final long[] mLatencies = new long[WINDOW];
        private int mCount;
        private int mNext;
        private boolean mStraggler;
        private int mSinceMarked;
        private double mFigure;
        private int mQueued;

        private void add(long latency) {
            mLatencies[mNext] = latency;
            mNext = (mNext + 1) % WINDOW;
            mCount = Math.min(WINDOW, mCount + 1);
            mSinceMarked++;
        }

        private void setStraggler(boolean straggler) {
            if (straggler && !mStraggler) {
                mSinceMarked = 0;
            } else if (!straggler && mStraggler) {
                mCount = 0;
                mNext = 0;
            }
            mStraggler = straggler;
        }

        private boolean isBack(double limit) {
            if (mSinceMarked < RETURN_SAMPLES) {
                return false;
            }
            for (int i = 1; i <= RETURN_SAMPLES; i++) {
                if (mLatencies[Math.floorMod(mNext - i, WINDOW)] > limit) {
                    return false;
                }
            }
            return true;
        }

        private double answeredMedian() {
            double[] values = Arrays.stream(mLatencies, 0, mCount).asDoubleStream().toArray();
            Arrays.sort(values);
            return lowerMedian(values);
        }

        /** Returns the median of the newest latencies and of the ages of late requests. */
        private double median(long now, double normal) {
            double[] late =
                    mPending.values().stream()
                            .mapToDouble(start -> now - start)
                            .filter(age -> mQueued == 0 && age > normal)
                            .toArray();
            int answers = Math.min(mCount, Math.max(0, WINDOW - late.length));
            double[] values = Arrays.copyOf(late, late.length + answers);
            for (int i = 0; i < answers; i++) {
                values[late.length + i] = mLatencies[Math.floorMod(mNext - 1 - i, WINDOW)];
            }
            Arrays.sort(values);
            return values.length < MIN_SAMPLES ? 0 : lowerMedian(values);
        }
    }
}
