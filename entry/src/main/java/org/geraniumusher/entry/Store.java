package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;

import java.util.concurrent.CompletableFuture;

/**
 * A client of the platform's object store.
 *
 * <p>Every returned future completes normally: errors are reported as a {@link StoreResult} such as
 * {@link StoreResult.Refused} or {@link StoreResult.NoAnswer}. An answer from an earlier epoch than
 * the highest one seen is reported as {@link StoreResult.NoAnswer}. Implementations never block,
 * and are thread-safe unless they say otherwise.
 */
public interface Store {
    /**
     * Lists one page of the objects of a kind.
     *
     * @param after name after which the page starts, exclusive; empty for the first page
     * @param allowStale whether the result may be seconds old, which is cheaper for the store
     */
    CompletableFuture<StoreResult> list(StoreKind kind, String after, boolean allowStale);

    /**
     * Lists all objects of a kind, page by page.
     *
     * <p>The result is a {@link StoreResult.Page} that no other follows. It shows each object as of
     * its revision or later, since objects may change between two pages; the changes after its
     * revision complete it. If a page is missing, the result is that of the failed call.
     *
     * @param allowStale whether the result may be seconds old, which is cheaper for the store
     */
    default CompletableFuture<StoreResult> listAll(StoreKind kind, boolean allowStale) {
        return PagedList.read(this, kind, allowStale);
    }

    /**
     * Waits for changes of objects of a kind after a revision (long polling). To cancel the future
     * ends the call.
     *
     * @param revision last revision that the caller has seen
     * @param waitMillis longest wait in ms, after which the result holds no changes
     */
    CompletableFuture<StoreResult> watch(StoreKind kind, long revision, long waitMillis);

    /** Creates an object, or reports a conflict if an object of this name exists. */
    CompletableFuture<StoreResult> create(StoreKind kind, String name, JsonNode spec);

    /** Replaces an object if its current revision is {@code revision}. */
    CompletableFuture<StoreResult> replace(
            StoreKind kind, String name, JsonNode spec, long revision);

    /** Removes an object if its current revision is {@code revision}. */
    CompletableFuture<StoreResult> remove(StoreKind kind, String name, long revision);

    /** Returns the highest epoch of this store that was seen, which each answer updates. */
    StoreEpoch epoch();

    /** Reads one object; the result is a {@link StoreResult.Written} if it exists. */
    CompletableFuture<StoreResult> read(StoreKind kind, String name);
}
