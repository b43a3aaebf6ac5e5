package org.geraniumusher.operator;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Kind;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WriteResult;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;

/** Keeps objects in memory, or fails every call when it is down. */
final class FakeObjectWriter implements ObjectWriter {
    private final Map<String, StoredObject> mObjects = new ConcurrentSkipListMap<>();
    private volatile boolean mDown;
    private long mVersion = 100;

    void setDown() {
        mDown = true;
    }

    @Override
    public CompletableFuture<ReadResult> list(Kind kind) {
        return found(mObjects.values().stream().filter(o -> o.kind().equals(kind.path())).toList());
    }

    @Override
    public CompletableFuture<ReadResult> get(Kind kind, String name) {
        StoredObject object = mObjects.get(key(kind.path(), name));
        return found(object == null ? ImmutableList.of() : ImmutableList.of(object));
    }

    @Override
    public synchronized CompletableFuture<WriteResult> put(StoredObject object) {
        Optional<WriteResult> failure = check(key(object.kind(), object.name()), object.version());
        if (failure.isPresent()) {
            return CompletableFuture.completedFuture(failure.get());
        }
        mVersion++;
        mObjects.put(
                key(object.kind(), object.name()),
                new StoredObject(
                        object.kind(), object.name(), mVersion, object.writer(), object.spec()));
        return CompletableFuture.completedFuture(new WriteResult.Written(mVersion));
    }

    @Override
    public synchronized CompletableFuture<WriteResult> delete(
            Kind kind, String name, long expectedVersion, String writer) {
        Optional<WriteResult> failure = check(key(kind.path(), name), expectedVersion);
        if (failure.isPresent()) {
            return CompletableFuture.completedFuture(failure.get());
        }
        mObjects.remove(key(kind.path(), name));
        return CompletableFuture.completedFuture(new WriteResult.Written(++mVersion));
    }

    private Optional<WriteResult> check(String key, long expected) {
        if (mDown) {
            return Optional.of(new WriteResult.Unknown("no answer"));
        }
        StoredObject current = mObjects.get(key);
        return (current == null ? 0 : current.version()) == expected
                ? Optional.empty()
                : Optional.of(new WriteResult.Conflict(Optional.ofNullable(current)));
    }

    private CompletableFuture<ReadResult> found(java.util.List<StoredObject> objects) {
        return CompletableFuture.completedFuture(
                mDown
                        ? new ReadResult.Unavailable("no answer")
                        : new ReadResult.Found(mVersion, objects));
    }

    private static String key(String kind, String name) {
        return kind + "/" + name;
    }
}
