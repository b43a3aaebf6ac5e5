package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.entry.StoreResult.Changes;
import org.geraniumusher.entry.StoreResult.HistoryGone;
import org.geraniumusher.entry.StoreResult.Page;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps a copy of the objects of one kind by a list and watches after it.
 *
 * <p>Invariant: the copy is the state of the store at one revision, which never decreases. While
 * the store does not answer, the copy of a peer is taken if its revision is higher. Confined to the
 * event loop.
 */
final class KindMirror {
    /** How closely the store is watched. A watch whose history was dropped may wait in vain. */
    enum Role {
        /**
         * Stands for all kinds: when its history is gone, so is that of the others, and when it
         * gets an answer, the others call again. The wait is short against the bounds for
         * configurations and leaving servers, the pause longer than an answer because each call is
         * priced.
         */
        SENTINEL(2_000, 400),
        /**
         * Relies on the sentinel. The wait is no longer than the history of the store: the revision
         * of a longer one is forgotten when it ends, and all kinds are listed again.
         */
        FOLLOWER(20_000, 3_000);

        private final long mWatchMillis;
        private final long mRetryMillis;

        Role(long watchMillis, long retryMillis) {
            mWatchMillis = watchMillis;
            mRetryMillis = retryMillis;
        }
    }

    /** Pause after changes, so that those which come together cost one call. */
    static final long SETTLE_MILLIS = 300;

    /** Pause after a first call that failed: the connection may have been reset. */
    private static final long FIRST_RETRY_MILLIS = 100;

    private final StoreKind mKind;
    private final Role mRole;
    private final Store mStore;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final Runnable mOnChange;
    private final Runnable mOnHistoryGone;
    private final Runnable mOnReachable;
    private final Map<String, StoreObject> mListing = new HashMap<>();
    private ImmutableMap<String, StoreObject> mObjects = ImmutableMap.of();
    private long mRevision = -1;
    private long mGeneration;
    private boolean mListed;
    private boolean mReachable;
    private long mUnreachableSince;
    private long mReachableSince;
    private int mFailures;

    /** What watches have told lately, for daemons that follow this one. */
    private final ChangeHistory mHistory = new ChangeHistory();

    private long mAnsweredAt;

    KindMirror(
            StoreKind kind,
            Role role,
            Store store,
            EventThread thread,
            LongSupplier clock,
            DecisionLog log,
            Runnable onChange,
            Runnable onHistoryGone,
            Runnable onReachable) {
        mKind = kind;
        mRole = role;
        mStore = store;
        mThread = thread;
        mClock = clock;
        mLog = log;
        mOnChange = onChange;
        mOnHistoryGone = onHistoryGone;
        mOnReachable = onReachable;
        mUnreachableSince = clock.getAsLong();
    }

    /** Begins again with a list; calls in progress are ignored. */
    void start() {
        mGeneration++;
        mListing.clear();
        list("");
    }

    StoreKind kind() {
        return mKind;
    }

    /** Reports whether a whole state was seen, from the store or from a peer. */
    boolean isKnown() {
        return mRevision >= 0;
    }

    long revision() {
        return mRevision;
    }

    ImmutableMap<String, StoreObject> objects() {
        return mObjects;
    }

    /** Reports whether the last call to the store was answered. */
    boolean isReachable() {
        return mReachable;
    }

    /** Returns the time of the last answer to a list or a watch. */
    long answeredAt() {
        return mAnsweredAt;
    }

    /** Returns what has changed since a revision, or empty when that is not known any more. */
    Optional<ImmutableList<StoreResult.Change>> changesSince(long revision) {
        return mHistory.since(revision);
    }

    /** Returns the time since which the store does not answer; only then is it of use. */
    long unreachableSince() {
        return mUnreachableSince;
    }

    /** Returns the time since which the store answers again; only then is it of use. */
    long reachableSince() {
        return mReachableSince;
    }

    /** Calls at once because another kind got an answer. */
    void resume() {
        if (!mReachable && mFailures > 0) {
            mGeneration++;
            retry();
        }
    }

    private void retry() {
        if (mListed) {
            watch();
        } else {
            start();
        }
    }

    private void retryLater() {
        scheduleCurrent(this::retry, mFailures == 1 ? FIRST_RETRY_MILLIS : mRole.mRetryMillis);
    }

    /** Takes the copy of a peer if it is newer; its objects must be a whole state. */
    void adopt(long revision, Map<String, StoreObject> objects) {
        if (!mReachable && revision > mRevision) {
            mLog.write(
                    DecisionLog.Part.STORE,
                    "Took objects from a peer",
                    "kind",
                    mKind,
                    "revision",
                    revision);
            mRevision = revision;
            mHistory.beginAt(mRevision);
            mObjects = ImmutableMap.copyOf(objects);
            mListed = false;
            mOnChange.run();
        }
    }

    private void list(String after) {
        long generation = mGeneration;
        mStore.list(mKind, after, false)
                .thenAccept(
                        result ->
                                mThread.execute(() -> ifCurrent(generation, () -> onPage(result))));
    }

    private void ifCurrent(long generation, Runnable task) {
        if (generation == mGeneration) {
            task.run();
        }
    }

    private void scheduleCurrent(Runnable task, long millis) {
        long generation = mGeneration;
        mThread.schedule(() -> ifCurrent(generation, task), millis, TimeUnit.MILLISECONDS);
    }

    private void onPage(StoreResult result) {
        if (!(result instanceof Page page)) {
            onUnusable(result);
            retryLater();
            return;
        }
        onAnswer();
        page.objects().forEach(o -> mListing.put(o.name(), o));
        if (page.more() && !page.objects().isEmpty()) {
            list(page.objects().get(page.objects().size() - 1).name());
            return;
        }
        if (page.revision() >= mRevision) {
            mRevision = page.revision();
            mHistory.beginAt(mRevision);
            mObjects = ImmutableMap.copyOf(mListing);
            mListed = true;
            mOnChange.run();
            watch();
        } else {
            scheduleCurrent(this::start, FIRST_RETRY_MILLIS);
        }
        mListing.clear();
    }

    private void watch() {
        long generation = mGeneration;
        mStore.watch(mKind, mRevision, mRole.mWatchMillis)
                .thenAccept(
                        result ->
                                mThread.execute(
                                        () -> ifCurrent(generation, () -> onChanges(result))));
    }

    private void onChanges(StoreResult result) {
        if (result instanceof Changes changes) {
            onAnswer();
            if (!mListed) {
                start();
                return;
            }
            apply(changes);
            if (changes.changes().isEmpty()) {
                watch();
            } else {
                scheduleCurrent(this::watch, SETTLE_MILLIS);
            }
        } else if (result instanceof HistoryGone) {
            onAnswer();
            mLog.write(
                    DecisionLog.Part.STORE,
                    "History is gone, listing again",
                    "kind",
                    mKind,
                    "revision",
                    mRevision);
            mOnHistoryGone.run();
        } else {
            onUnusable(result);
            retryLater();
        }
    }

    private void apply(Changes changes) {
        mRevision = Math.max(mRevision, changes.revision());
        mHistory.add(changes.changes(), mRevision);
        if (!changes.changes().isEmpty()) {
            Map<String, StoreObject> next = new HashMap<>(mObjects);
            for (StoreResult.Change change : changes.changes()) {
                if (change.removed()) {
                    next.remove(change.object().name());
                } else {
                    next.put(change.object().name(), change.object());
                }
            }
            mObjects = ImmutableMap.copyOf(next);
            mOnChange.run();
        }
    }

    private void onAnswer() {
        mAnsweredAt = mClock.getAsLong();
        if (!mReachable) {
            mReachable = true;
            mReachableSince = mClock.getAsLong();
            mLog.write(
                    DecisionLog.Part.STORE, "Store answers", "kind", mKind, "revision", mRevision);
            mOnReachable.run();
        }
        mFailures = 0;
    }

    private void onUnusable(StoreResult result) {
        mFailures++;
        if (mReachable) {
            mReachable = false;
            mUnreachableSince = mClock.getAsLong();
            mLog.write(
                    DecisionLog.Part.STORE,
                    "Store does not answer",
                    "kind",
                    mKind,
                    "result",
                    result);
        }
    }
}
