package org.geraniumusher.entry;

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

/** Keeps objects in memory. Calls are answered at once, or when the test says so. */
final class FakeStore implements Store {
    private final Map<StoreKind, TreeMap<String, StoreObject>> mKinds =
            new EnumMap<>(StoreKind.class);
    private final Queue<Runnable> mHeld = new ArrayDeque<>();
    private final List<CompletableFuture<StoreResult>> mWatches = new ArrayList<>();
    private long mLongestWaitMillis;
    private long mRevision = 1;
    private boolean mHolding;
    private boolean mDown;

    /** Carries writes out at once from now on, but keeps their answers back. */
    void holdAnswers() {
        mHolding = true;
    }

    /** Gives the answers that were kept back. */
    void releaseAnswers() {
        mHolding = false;
        while (!mHeld.isEmpty()) {
            mHeld.poll().run();
        }
    }

    void setDown(boolean down) {
        mDown = down;
    }

    JsonNode spec(StoreKind kind, String name) {
        StoreObject object = kind(kind).get(name);
        return object == null ? JsonNodeFactory.instance.missingNode() : object.spec();
    }

    void put(StoreKind kind, String name, JsonNode spec) {
        kind(kind).put(name, new StoreObject(name, ++mRevision, spec, spec));
    }

    void remove(StoreKind kind, String name) {
        kind(kind).remove(name);
        mRevision++;
    }

    private TreeMap<String, StoreObject> kind(StoreKind kind) {
        return mKinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private CompletableFuture<StoreResult> answer(StoreResult result) {
        CompletableFuture<StoreResult> future = new CompletableFuture<>();
        StoreResult given = mDown ? new StoreResult.Refused(503) : result;
        if (mHolding) {
            mHeld.add(() -> future.complete(given));
        } else {
            future.complete(given);
        }
        return future;
    }

    @Override
    public CompletableFuture<StoreResult> list(StoreKind kind, String after, boolean allowStale) {
        return answer(
                new StoreResult.Page(
                        ImmutableList.copyOf(kind(kind).tailMap(after, false).values()),
                        false,
                        mRevision));
    }

    @Override
    public CompletableFuture<StoreResult> watch(StoreKind kind, long revision, long waitMillis) {
        mLongestWaitMillis = Math.max(mLongestWaitMillis, waitMillis);
        if (mDown) {
            return answer(new StoreResult.Refused(503));
        }
        CompletableFuture<StoreResult> watch = new CompletableFuture<>();
        mWatches.add(watch);
        return watch;
    }

    long longestWaitMillis() {
        return mLongestWaitMillis;
    }

    /** Ends all watches that wait, as an outage does. */
    void failWatches() {
        List<CompletableFuture<StoreResult>> watches = List.copyOf(mWatches);
        mWatches.clear();
        watches.forEach(w -> w.complete(new StoreResult.Refused(503)));
    }

    /** Tells all watches that wait that their history is gone. */
    void dropHistory() {
        List<CompletableFuture<StoreResult>> watches = List.copyOf(mWatches);
        mWatches.clear();
        watches.forEach(w -> w.complete(new StoreResult.HistoryGone()));
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
            StoreKind kind, String name, JsonNode spec, long expected) {
        StoreObject current = kind(kind).get(name);
        long revision = current == null ? 0 : current.revision();
        if (mDown) {
            return answer(new StoreResult.Refused(503));
        }
        if (revision != expected) {
            return answer(new StoreResult.Conflict(current));
        }
        put(kind, name, spec);
        return answer(new StoreResult.Written(kind(kind).get(name)));
    }

    @Override
    public CompletableFuture<StoreResult> remove(StoreKind kind, String name, long revision) {
        remove(kind, name);
        return answer(new StoreResult.Removed());
    }

    @Override
    public CompletableFuture<StoreResult> read(StoreKind kind, String name) {
        StoreObject object = kind(kind).get(name);
        return answer(
                object == null ? new StoreResult.NotFound() : new StoreResult.Written(object));
    }
}
