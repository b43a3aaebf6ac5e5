package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.collect.ImmutableList;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * A store in memory that simulates outages, late answers and restores from a backup.
 *
 * <p>Watches are pending until a test ends them; other calls are answered at once unless the test
 * holds the answers. Not thread-safe.
 */
final class FakeStore implements Store {
    private final Map<StoreKind, TreeMap<String, StoreObject>> mObjectsByKind =
            new EnumMap<>(StoreKind.class);
    private final Queue<Runnable> mHeldAnswers = new ArrayDeque<>();
    private final List<CompletableFuture<StoreResult>> mWatches = new ArrayList<>();
    private long mLongestWaitMillis;
    private long mLastWaitMillis;
    private int mWatchCount;
    private long mRevision = 1;
    private boolean mHoldAnswers;
    private boolean mDown;
    private int mPageSize = Integer.MAX_VALUE;
    private Runnable mBetweenPages = () -> {};
    private long mLastWatchedRevision;
    private final StoreEpoch mEpoch;
    private long mStoreEpoch = 1;

    /** What stale lists show, or null if they show the current state. */
    private Backup mStaleState;

    FakeStore(DecisionLog log) {
        mEpoch = StoreEpoch.create(log);
    }

    @Override
    public StoreEpoch epoch() {
        return mEpoch;
    }

    /** The state of the store at one time. */
    record Backup(Map<StoreKind, TreeMap<String, StoreObject>> objectsByKind, long revision) {}

    /** Returns a backup of the current state. */
    Backup backup() {
        Map<StoreKind, TreeMap<String, StoreObject>> copy = new EnumMap<>(StoreKind.class);
        mObjectsByKind.forEach((kind, objects) -> copy.put(kind, new TreeMap<>(objects)));
        return new Backup(copy, mRevision);
    }

    /** Restores a backup, which starts a new epoch. Pending watches stay pending. */
    void restore(Backup backup) {
        mObjectsByKind.clear();
        backup.objectsByKind()
                .forEach((kind, objects) -> mObjectsByKind.put(kind, new TreeMap<>(objects)));
        mRevision = backup.revision();
        mStoreEpoch++;
    }

    /** From now on, lists that may be stale show the present state. */
    void freezeStaleLists() {
        mStaleState = backup();
    }

    /** From now on, executes calls at once but holds their answers. */
    void holdAnswers() {
        mHoldAnswers = true;
    }

    /** Completes the calls whose answers are held, and ends holding. */
    void releaseAnswers() {
        mHoldAnswers = false;
        while (!mHeldAnswers.isEmpty()) {
            mHeldAnswers.poll().run();
        }
    }

    /** Sets whether the store answers all calls with status 503. Pending watches stay pending. */
    void setDown(boolean down) {
        mDown = down;
    }

    /**
     * Divides lists into pages.
     *
     * @param betweenPages runs after each page that others follow
     */
    void setPages(int pageSize, Runnable betweenPages) {
        mPageSize = pageSize;
        mBetweenPages = betweenPages;
    }

    /** Returns the revision from which the last watch continues. */
    long lastWatchedRevision() {
        return mLastWatchedRevision;
    }

    /** Returns the spec of an object, or a missing node if it does not exist. */
    JsonNode spec(StoreKind kind, String name) {
        StoreObject object = objects(kind).get(name);
        return object == null ? JsonNodeFactory.instance.missingNode() : object.spec();
    }

    /** Returns an object, which must exist. */
    StoreObject object(StoreKind kind, String name) {
        return checkNotNull(objects(kind).get(name));
    }

    void put(StoreKind kind, String name, JsonNode spec) {
        objects(kind).put(name, new StoreObject(name, ++mRevision, spec, spec));
    }

    void remove(StoreKind kind, String name) {
        objects(kind).remove(name);
        mRevision++;
    }

    private TreeMap<String, StoreObject> objects(StoreKind kind) {
        return mObjectsByKind.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private CompletableFuture<StoreResult> answer(StoreResult result) {
        CompletableFuture<StoreResult> future = new CompletableFuture<>();
        boolean down = mDown;
        long epoch = mStoreEpoch;
        Runnable answer =
                () ->
                        future.complete(
                                down
                                        ? new StoreResult.Refused(503)
                                        : mEpoch.observe(epoch)
                                                ? result
                                                : new StoreResult.NoAnswer("earlier epoch"));
        if (mHoldAnswers) {
            mHeldAnswers.add(answer);
        } else {
            answer.run();
        }
        return future;
    }

    @Override
    public CompletableFuture<StoreResult> list(StoreKind kind, String after, boolean allowStale) {
        TreeMap<String, StoreObject> objects =
                allowStale && mStaleState != null
                        ? mStaleState.objectsByKind().getOrDefault(kind, new TreeMap<>())
                        : objects(kind);
        List<StoreObject> rest = List.copyOf(objects.tailMap(after, false).values());
        boolean more = rest.size() > mPageSize;
        List<StoreObject> page = more ? rest.subList(0, mPageSize) : rest;
        CompletableFuture<StoreResult> result =
                answer(new StoreResult.Page(ImmutableList.copyOf(page), more, mRevision));
        if (more) {
            mBetweenPages.run();
        }
        return result;
    }

    @Override
    public CompletableFuture<StoreResult> watch(StoreKind kind, long revision, long waitMillis) {
        mLastWatchedRevision = revision;
        mLongestWaitMillis = Math.max(mLongestWaitMillis, waitMillis);
        mLastWaitMillis = waitMillis;
        mWatchCount++;
        if (mDown) {
            return answer(new StoreResult.Refused(503));
        }
        CompletableFuture<StoreResult> watch = new CompletableFuture<>();
        mWatches.add(watch);
        return watch;
    }

    /** Returns the longest wait of all watches so far. */
    long longestWaitMillis() {
        return mLongestWaitMillis;
    }

    /** Returns the wait of the last watch. */
    long lastWaitMillis() {
        return mLastWaitMillis;
    }

    /** Returns how many watches were sent. */
    int watchCount() {
        return mWatchCount;
    }

    /** Fails all pending watches, as an outage does. */
    void failWatches() {
        List<CompletableFuture<StoreResult>> watches = List.copyOf(mWatches);
        mWatches.clear();
        watches.forEach(w -> w.complete(new StoreResult.Refused(503)));
    }

    /** Answers all pending watches with {@link StoreResult.HistoryGone}. */
    void dropHistory() {
        answerWatches(new StoreResult.HistoryGone());
    }

    /** Answers all pending watches with a result. */
    void answerWatches(StoreResult result) {
        List<CompletableFuture<StoreResult>> watches = List.copyOf(mWatches);
        mWatches.clear();
        mEpoch.observe(mStoreEpoch);
        watches.forEach(w -> w.complete(result));
    }

    @Override
    public CompletableFuture<StoreResult> create(StoreKind kind, String name, JsonNode spec) {
        return write(kind, name, spec, 0);
    }

    @Override
    public CompletableFuture<StoreResult> replace(
            StoreKind kind, String name, JsonNode spec, long revision) {
        return write(kind, name, spec, revision);
    }

    private CompletableFuture<StoreResult> write(
            StoreKind kind, String name, JsonNode spec, long expectedRevision) {
        StoreObject current = objects(kind).get(name);
        long revision = current == null ? 0 : current.revision();
        if (mDown) {
            return answer(new StoreResult.Refused(503));
        }
        if (revision != expectedRevision) {
            return answer(new StoreResult.Conflict(current));
        }
        // A write without a change leaves the revision as it is.
        if (current == null || !current.spec().equals(spec)) {
            put(kind, name, spec);
        }
        return answer(new StoreResult.Written(objects(kind).get(name)));
    }

    @Override
    public CompletableFuture<StoreResult> remove(StoreKind kind, String name, long revision) {
        StoreObject current = objects(kind).get(name);
        if (current == null) {
            return answer(new StoreResult.NotFound());
        }
        if (current.revision() != revision) {
            return answer(new StoreResult.Conflict(current));
        }
        remove(kind, name);
        return answer(new StoreResult.Removed());
    }

    @Override
    public CompletableFuture<StoreResult> read(StoreKind kind, String name) {
        StoreObject object = objects(kind).get(name);
        return answer(
                object == null ? new StoreResult.NotFound() : new StoreResult.Written(object));
    }
}
