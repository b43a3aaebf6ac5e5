package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

import org.geraniumusher.http.Cancellation;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Forwards calls to another store, counts them by method, kind and result, and reports those that
 * got no response in time. Thread-safe if that store is, except for the listener, which is set
 * before the first call.
 */
final class MeteredStore implements Store {
    private final Store mDelegate;
    private final EntryMetrics mMetrics;
    private final LongSupplier mClock;
    private LongConsumer mTimeoutListener = sentNanos -> {};

    MeteredStore(Store delegate, EntryMetrics metrics, LongSupplier clock) {
        mDelegate = checkNotNull(delegate);
        mMetrics = checkNotNull(metrics);
        mClock = checkNotNull(clock);
    }

    /**
     * Sets what is told, on the thread that ends the call, when a call got no response in time: the
     * clock time in ns at which it was sent.
     */
    void setTimeoutListener(LongConsumer listener) {
        mTimeoutListener = checkNotNull(listener);
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
            String method, StoreKind kind, CompletableFuture<StoreResult> call) {
        long sentNanos = mClock.getAsLong();
        CompletableFuture<StoreResult> result = new CompletableFuture<>();
        Cancellation.propagate(result, call);
        call.whenComplete(
                (r, error) -> {
                    StoreResult counted =
                            error == null ? r : new StoreResult.NoAnswer(String.valueOf(error));
                    mMetrics.onStoreCall(method, kind, counted);
                    result.complete(counted);
                    if (counted instanceof StoreResult.NoAnswer noAnswer && noAnswer.timedOut()) {
                        mTimeoutListener.accept(sentNanos);
                    }
                });
        return result;
    }
}
