package org.geraniumusher.operator;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.Kind;
import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WatchEvent;
import org.geraniumusher.platform.WriteResult;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Writes through the object API. When the answer of a write is lost, the object is read back once,
 * so that a write that took effect is reported as written. Accepted changes are passed on at once,
 * so that this daemon spreads them even if the store fails just afterwards. Thread-safe.
 */
public final class StoreObjectWriter implements ObjectWriter {
    private final ObjectApi mApi;
    private final Consumer<WatchEvent> mOnAccepted;

    private StoreObjectWriter(ObjectApi api, Consumer<WatchEvent> onAccepted) {
        mApi = checkNotNull(api);
        mOnAccepted = checkNotNull(onAccepted);
    }

    /** Returns a writer; {@code onAccepted} gets each accepted change, on any thread. */
    public static StoreObjectWriter create(ObjectApi api, Consumer<WatchEvent> onAccepted) {
        return new StoreObjectWriter(api, onAccepted);
    }

    @Override
    public CompletableFuture<ReadResult> list(Kind kind) {
        return mApi.list(kind.path());
    }

    @Override
    public CompletableFuture<ReadResult> get(Kind kind, String name) {
        return mApi.get(kind.path(), name);
    }

    @Override
    public CompletableFuture<WriteResult> put(StoredObject object) {
        return mApi.put(
                        object.kind(),
                        object.name(),
                        object.version(),
                        object.writer(),
                        object.spec())
                .thenCompose(result -> readBack(result, object, WatchEvent.Type.PUT))
                .thenApply(result -> passOn(result, object, WatchEvent.Type.PUT));
    }

    @Override
    public CompletableFuture<WriteResult> delete(
            Kind kind, String name, long expectedVersion, String writer) {
        StoredObject object = new StoredObject(kind.path(), name, expectedVersion, writer, null);
        return mApi.delete(kind.path(), name, expectedVersion)
                .thenCompose(result -> readBack(result, object, WatchEvent.Type.DELETE))
                .thenApply(result -> passOn(result, object, WatchEvent.Type.DELETE));
    }

    private CompletableFuture<WriteResult> readBack(
            WriteResult result, StoredObject object, WatchEvent.Type type) {
        if (!(result instanceof WriteResult.Unknown unknown)) {
            return CompletableFuture.completedFuture(result);
        }
        return mApi.get(object.kind(), object.name())
                .thenApply(read -> decide(unknown, read, object, type));
    }

    /** An unchanged object proves nothing: the write may still be on its way to the store. */
    private static WriteResult decide(
            WriteResult.Unknown unknown,
            ReadResult read,
            StoredObject object,
            WatchEvent.Type type) {
        if (!(read instanceof ReadResult.Found found)) {
            return unknown;
        }
        Optional<StoredObject> current = found.objects().stream().findFirst();
        if (current.isEmpty()) {
            return type == WatchEvent.Type.DELETE
                    ? new WriteResult.Written(found.version())
                    : unknown;
        }
        StoredObject now = current.get();
        if (now.version() == object.version()) {
            return unknown;
        }
        boolean mine =
                type == WatchEvent.Type.PUT
                        && now.spec().equals(object.spec())
                        && object.writer().equals(now.writer());
        return mine ? new WriteResult.Written(now.version()) : new WriteResult.Conflict(current);
    }

    private WriteResult passOn(WriteResult result, StoredObject object, WatchEvent.Type type) {
        if (result instanceof WriteResult.Written written) {
            StoredObject accepted =
                    new StoredObject(
                            object.kind(),
                            object.name(),
                            written.version(),
                            object.writer(),
                            object.spec());
            mOnAccepted.accept(new WatchEvent(type, written.version(), accepted));
        }
        return result;
    }
}
