package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.entry.DecisionLog.Part;

/**
 * The highest epoch of the store that this daemon has seen, in an answer of the store or in a
 * message of another daemon. The epoch rises by one with each restore of the store from a backup.
 *
 * <p>Invariant: the epoch never decreases, and all listeners have run for it before anything that
 * carries it is processed. Confined to the event loop.
 */
public final class StoreEpoch {
    /** Highest epoch of a store that was never restored. */
    private static final long FIRST = 1;

    private static final long UNKNOWN = -1;

    private final DecisionLog mLog;
    private final Listeners mListeners;
    private long mCurrent = UNKNOWN;
    private boolean mHasRisen;
    private long mDroppedAnswers;

    private StoreEpoch(DecisionLog log) {
        mLog = log;
        mListeners = new Listeners(log);
    }

    /** Returns an instance that has not seen an epoch yet. */
    public static StoreEpoch create(DecisionLog log) {
        return new StoreEpoch(checkNotNull(log));
    }

    /** Returns the highest epoch seen, or 0 if none was seen yet. */
    public long current() {
        return Math.max(0, mCurrent);
    }

    /** Returns whether the epoch has risen, which shows that the store was restored. */
    public boolean hasRisen() {
        return mHasRisen;
    }

    /**
     * Returns whether the store may have been restored at any time, also before this daemon
     * started.
     */
    public boolean mayBeRestored() {
        return mHasRisen || mCurrent > FIRST;
    }

    /**
     * Adds a listener that runs each time the epoch rises, after {@link #current} has changed. The
     * first epoch seen is no rise.
     */
    public void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    /**
     * Records an epoch that an answer of the store or a message carries. An epoch below the first
     * one says that the sender does not know it: it is neither the first epoch seen nor a rise.
     *
     * @return whether it is the highest one; otherwise the answer is from before a restore and must
     *     be dropped
     */
    public boolean observe(long epoch) {
        if (epoch < mCurrent) {
            mDroppedAnswers++;
            return false;
        }
        if (mCurrent == UNKNOWN) {
            mCurrent = epoch < FIRST ? UNKNOWN : epoch;
        } else if (epoch > mCurrent) {
            long previous = mCurrent;
            mCurrent = epoch;
            mHasRisen = true;
            mLog.write(
                    Part.STORE,
                    "Store was restored from a backup",
                    "previous_epoch",
                    previous,
                    "epoch",
                    epoch);
            mListeners.run();
        }
        return true;
    }

    /** Returns the number of answers and messages that were dropped for their epoch. */
    public long droppedAnswers() {
        return mDroppedAnswers;
    }
}
