package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;

import org.junit.jupiter.api.Test;

import java.util.concurrent.CompletableFuture;

/** Guards against users of the store that wait for ever because a call has failed. */
final class MeteredStoreTest {
    /** A store whose calls all fail. */
    private static final class FailingStore implements Store {
        private static CompletableFuture<StoreResult> failure() {
            return CompletableFuture.failedFuture(new IllegalStateException("failed"));
        }

        @Override
        public StoreEpoch epoch() {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<StoreResult> list(StoreKind kind, String after, boolean stale) {
            return failure();
        }

        @Override
        public CompletableFuture<StoreResult> watch(StoreKind kind, long revision, long wait) {
            return failure();
        }

        @Override
        public CompletableFuture<StoreResult> create(StoreKind kind, String name, JsonNode spec) {
            return failure();
        }

        @Override
        public CompletableFuture<StoreResult> replace(
                StoreKind kind, String name, JsonNode spec, long revision) {
            return failure();
        }

        @Override
        public CompletableFuture<StoreResult> remove(StoreKind kind, String name, long revision) {
            return failure();
        }

        @Override
        public CompletableFuture<StoreResult> read(StoreKind kind, String name) {
            return failure();
        }
    }

    @Test
    void read_delegateFails_completesWithNoAnswer() {
        Store store =
                new MeteredStore(
                        new FailingStore(),
                        new EntryMetrics("entry-1", 1, () -> 0, () -> 0),
                        () -> 0);

        StoreResult result = store.read(StoreKind.SERVERS, "a").join();

        assertThat(result).isInstanceOf(StoreResult.NoAnswer.class);
    }
}
