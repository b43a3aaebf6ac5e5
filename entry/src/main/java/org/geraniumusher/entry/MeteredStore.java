package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

import java.util.concurrent.CompletableFuture;

/**
 * Forwards calls to another store and counts them by method, kind and result. Thread-safe if that
 * store is.
 */
final class MeteredStore implements Store {
    private final Store mDelegate;
    private final EntryMetrics mMetrics;

    MeteredStore(Store delegate, EntryMetrics metrics) {
        mDelegate = checkNotNull(delegate);
        mMetrics = checkNotNull(metrics);
    }

    @Override
    public StoreEpoch epoch() {
        return mDelegate.epoch();
    }

    @Override
    public CompletableFuture<StoreResult> list(StoreKind kind, String after, boolean allowStale) {
        String name = allowStale ? "list_stale" : "list";
        return countResult(name, kind, mDelegate.list(kind, after, allowStale));
    }

    @Override
    public CompletableFuture<StoreResult> watch(StoreKind kind, long revision, long waitMillis) {
        return countResult("watch", kind, mDelegate.watch(kind, revision, waitMillis));
    }

    @Override
    public CompletableFuture<StoreResult> create(StoreKind kind, String name, JsonNode spec) {
        return countResult("create", kind, mDelegate.create(kind, name, spec));
    }

    @Override
    public CompletableFuture<StoreResult> replace(
            StoreKind kind, String name, JsonNode spec, long revision) {
        return countResult("replace", kind, mDelegate.replace(kind, name, spec, revision));
    }

    @Override
    public CompletableFuture<StoreResult> remove(StoreKind kind, String name, long revision) {
        return countResult("remove", kind, mDelegate.remove(kind, name, revision));
    }

    @Override
    public CompletableFuture<StoreResult> read(StoreKind kind, String name) {
        return countResult("read", kind, mDelegate.read(kind, name));
    }

    private CompletableFuture<StoreResult> countResult(
            String method, StoreKind kind, CompletableFuture<StoreResult> future) {
        return future.exceptionally(error -> new StoreResult.NoAnswer(String.valueOf(error)))
                .whenComplete((result, error) -> mMetrics.onStoreCall(method, kind, result));
    }
}
