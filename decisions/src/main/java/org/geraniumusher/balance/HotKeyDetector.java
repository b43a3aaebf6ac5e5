package org.geraniumusher.balance;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

import org.agrona.collections.Long2LongHashMap;
import org.geraniumusher.model.Slice;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds hot keys with the space-saving sketch (Metwally, Agrawal, El Abbadi: Efficient Computation
 * of Frequent and Top-k Elements in Data Streams, ICDT 2005).
 *
 * <p>Memory is constant: {@code capacity} counters. Without decay, a key with more than 1/capacity
 * of the requests is always tracked, and its count minus its error never exceeds the true count.
 * {@link #decay} is called once a second and halves the past in {@code halfLifeSeconds}, so that a
 * key that cools is seen to. The gateway daemon of a server sees all requests to it, so its counts
 * compare with the server's load. Not thread-safe.
 */
public final class HotKeyDetector {
    /** Share of its server's load from which a key is split off. */
    static final double SPLIT_SHARE = 0.15;

    /** Share up to which it is merged back; a third, so that a varying load does not alternate. */
    static final double MERGE_SHARE = 0.05;

    private static final long MISSING = -1;

    private final long[] mHashes;
    private final double[] mCounts;
    private final double[] mErrors;
    private final Long2LongHashMap mIndexes = new Long2LongHashMap(MISSING);
    private final double mFactor;
    private int mSize;

    private HotKeyDetector(int capacity, double halfLifeSeconds) {
        mHashes = new long[capacity];
        mCounts = new double[capacity];
        mErrors = new double[capacity];
        mFactor = Math.pow(0.5, 1 / halfLifeSeconds);
    }

    /** Returns an empty detector with {@code capacity} counters. */
    public static HotKeyDetector create(int capacity, double halfLifeSeconds) {
        checkArgument(capacity >= 1, "bad capacity: %s", capacity);
        checkArgument(halfLifeSeconds > 0, "bad halfLifeSeconds: %s", halfLifeSeconds);
        return new HotKeyDetector(capacity, halfLifeSeconds);
    }

    /** Counts one request; a key without a counter takes over the smallest one. */
    public void record(long hash) {
        long index = mIndexes.get(hash);
        if (index != MISSING) {
            mCounts[(int) index]++;
        } else if (mSize < mHashes.length) {
            put(mSize, hash, 0);
            mSize++;
        } else {
            int smallest = smallest();
            mIndexes.remove(mHashes[smallest]);
            put(smallest, hash, mCounts[smallest]);
        }
    }

    private void put(int index, long hash, double error) {
        mHashes[index] = hash;
        mCounts[index] = error + 1;
        mErrors[index] = error;
        mIndexes.put(hash, index);
    }

    /** Scans all counters; a few dozen are enough, since only a few keys can have a large share. */
    private int smallest() {
        int smallest = 0;
        for (int i = 1; i < mSize; i++) {
            if (mCounts[i] < mCounts[smallest]) {
                smallest = i;
            }
        }
        return smallest;
    }

    /** Ages all counts by one second. */
    public void decay() {
        for (int i = 0; i < mSize; i++) {
            mCounts[i] *= mFactor;
            mErrors[i] *= mFactor;
        }
    }

    /**
     * Returns the requests per second that a key has at least, 0 if it is not tracked. Just after a
     * {@link #decay}, a constant rate r has a count of r x factor / (1 - factor).
     */
    public double requestsPerSecond(long hash) {
        long index = mIndexes.get(hash);
        if (index == MISSING) {
            return 0;
        }
        double count = mCounts[(int) index] - mErrors[(int) index];
        return count * (1 - mFactor) / mFactor;
    }

    /** Returns the splits and merges that the slices and their loads call for; call after decay. */
    public ImmutableList<HotKeyProposal> propose(List<SliceLoad> slices) {
        Map<String, Double> serverLoads = new HashMap<>();
        for (SliceLoad slice : slices) {
            serverLoads.merge(slice.slice().owner(), slice.requestsPerSecond(), Double::sum);
        }
        ImmutableList.Builder<HotKeyProposal> proposals = ImmutableList.builder();
        for (SliceLoad slice : slices) {
            double load = serverLoads.get(slice.slice().owner());
            if (isSingle(slice.slice())) {
                addMerge(slice, load, proposals);
            } else {
                addSplits(slice.slice(), load, proposals);
            }
        }
        return proposals.build();
    }

    private static boolean isSingle(Slice slice) {
        return slice.first() == slice.last();
    }

    private static void addMerge(
            SliceLoad slice, double load, ImmutableList.Builder<HotKeyProposal> proposals) {
        if (slice.requestsPerSecond() <= MERGE_SHARE * load) {
            proposals.add(new HotKeyProposal.Merge(slice.slice().first()));
        }
    }

    private void addSplits(
            Slice slice, double load, ImmutableList.Builder<HotKeyProposal> proposals) {
        for (int i = 0; i < mSize; i++) {
            double rate = requestsPerSecond(mHashes[i]);
            if (load > 0 && rate >= SPLIT_SHARE * load && slice.contains(mHashes[i])) {
                proposals.add(new HotKeyProposal.Split(mHashes[i], rate));
            }
        }
    }
}
