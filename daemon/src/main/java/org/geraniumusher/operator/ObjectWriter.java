package org.geraniumusher.operator;

import org.geraniumusher.model.Kind;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WriteResult;

import java.util.concurrent.CompletableFuture;

/** Reads and changes configuration objects in the store. Thread-safe; futures never fail. */
public interface ObjectWriter {
    /** Lists the objects of a kind. */
    CompletableFuture<ReadResult> list(Kind kind);

    /** Reads one object; the result holds none when it does not exist. */
    CompletableFuture<ReadResult> get(Kind kind, String name);

    /** Writes an object if the store still has the version that the object carries; 0 creates. */
    CompletableFuture<WriteResult> put(StoredObject object);

    /** Deletes an object if the store still has {@code expectedVersion}. */
    CompletableFuture<WriteResult> delete(
            Kind kind, String name, long expectedVersion, String writer);
}
