package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.entry.StoreResult.NoAnswer;
import org.geraniumusher.entry.StoreResult.Page;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads all pages of a list, one after the other. Confined to the thread on which the store
 * completes its futures.
 *
 * <p>Invariant: the list is whole or fails. The store may change between two pages: a change is
 * then missing from the pages before it, but not from the changes after {@link #mFirstRevision}.
 */
final class PagedList {
    private final Store mStore;
    private final StoreKind mKind;
    private final boolean mAllowStale;
    private final List<StoreObject> mObjects = new ArrayList<>();
    private long mFirstRevision;

    /** Epoch of the store at the first page. */
    private long mEpoch;

    private PagedList(Store store, StoreKind kind, boolean allowStale) {
        mStore = store;
        mKind = kind;
        mAllowStale = allowStale;
    }

    /** Reads a list; see {@link Store#listAll}. */
    static CompletableFuture<StoreResult> read(Store store, StoreKind kind, boolean allowStale) {
        PagedList list = new PagedList(store, kind, allowStale);
        return store.list(kind, "", allowStale).thenCompose(list::onFirstPage);
    }

    private CompletableFuture<StoreResult> onFirstPage(StoreResult result) {
        if (result instanceof Page page) {
            mFirstRevision = page.revision();
            mEpoch = mStore.epoch().current();
        }
        return onPage(result);
    }

    private CompletableFuture<StoreResult> onPage(StoreResult result) {
        if (!(result instanceof Page page)) {
            return CompletableFuture.completedFuture(result);
        }
        mObjects.addAll(page.objects());
        if (!page.more()) {
            return CompletableFuture.completedFuture(
                    new Page(ImmutableList.copyOf(mObjects), false, mFirstRevision));
        }
        if (page.objects().isEmpty()) {
            return CompletableFuture.completedFuture(
                    new NoAnswer("page without a name from which the list continues"));
        }
        String last = page.objects().get(page.objects().size() - 1).name();
        return mStore.list(mKind, last, mAllowStale).thenCompose(this::onNextPage);
    }

    private CompletableFuture<StoreResult> onNextPage(StoreResult result) {
        return mStore.epoch().current() == mEpoch
                ? onPage(result)
                : CompletableFuture.completedFuture(
                        new NoAnswer("store was restored between two pages"));
    }
}
