package org.geraniumusher.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WatchEvent;
import org.geraniumusher.platform.WriteResult;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Keeps objects in memory with one revision counter for all of them, and the last {@link #LOG_SIZE}
 * changes for watches. Thread-safe.
 */
public final class ObjectStore {
    /** Changes kept for watches; an older revision must list again. */
    static final int LOG_SIZE = 10_000;

    /** Largest value, in characters of JSON; the platform holds values up to 1 MB. */
    private static final int MAX_VALUE_CHARS = 1 << 20;

    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private final Deque<WatchEvent> mLog = new ArrayDeque<>();
    private final List<Consumer<WatchEvent>> mWatchers = new ArrayList<>();
    private long mRevision;

    private ObjectStore() {}

    /** Returns an empty store at revision 0. */
    public static ObjectStore create() {
        return new ObjectStore();
    }

    /** Writes an object if its version is {@code expectedVersion}; 0 means that there is none. */
    public synchronized WriteResult put(
            String kind, String name, long expectedVersion, String writer, JsonNode spec) {
        Optional<StoredObject> current = find(kind, name);
        if (current.map(StoredObject::version).orElse(0L) != expectedVersion) {
            return new WriteResult.Conflict(current);
        }
        if (spec == null || spec.toString().length() > MAX_VALUE_CHARS) {
            return new WriteResult.Refused("value is missing or larger than 1 MB");
        }
        StoredObject object = new StoredObject(kind, name, ++mRevision, writer, spec);
        mObjects.put(key(kind, name), object);
        publish(new WatchEvent(WatchEvent.Type.PUT, mRevision, object));
        return new WriteResult.Written(mRevision);
    }

    /** Deletes an object if its version is {@code expectedVersion}. */
    public synchronized WriteResult delete(String kind, String name, long expectedVersion) {
        Optional<StoredObject> current = find(kind, name);
        if (current.isEmpty() || current.get().version() != expectedVersion) {
            return new WriteResult.Conflict(current);
        }
        mObjects.remove(key(kind, name));
        publish(new WatchEvent(WatchEvent.Type.DELETE, ++mRevision, current.get()));
        return new WriteResult.Written(mRevision);
    }

    /** Returns an object, or empty when there is none. */
    public synchronized Optional<StoredObject> find(String kind, String name) {
        return Optional.ofNullable(mObjects.get(key(kind, name)));
    }

    /** Lists the objects of a kind, or all of them when {@code kind} is empty. */
    public synchronized ReadResult.Found list(Optional<String> kind) {
        ImmutableList<StoredObject> found =
                mObjects.values().stream()
                        .filter(object -> kind.isEmpty() || kind.get().equals(object.kind()))
                        .collect(ImmutableList.toImmutableList());
        return new ReadResult.Found(mRevision, found);
    }

    /**
     * Sends all changes after {@code since} and then new ones to {@code watcher}, in order, while
     * it holds the lock of the store. Returns false when the log does not reach back that far.
     */
    public synchronized boolean watch(long since, Consumer<WatchEvent> watcher) {
        if (since < mRevision && (mLog.isEmpty() || mLog.peekFirst().version() > since + 1)) {
            return false;
        }
        mLog.stream().filter(event -> event.version() > since).forEach(watcher);
        mWatchers.add(watcher);
        return true;
    }

    /** Ends the watch of {@code watcher}. */
    public synchronized void unwatch(Consumer<WatchEvent> watcher) {
        mWatchers.remove(watcher);
    }

    private void publish(WatchEvent event) {
        mLog.addLast(event);
        if (mLog.size() > LOG_SIZE) {
            mLog.removeFirst();
        }
        ImmutableList.copyOf(mWatchers).forEach(watcher -> watcher.accept(event));
    }

    private static String key(String kind, String name) {
        return kind + "/" + name;
    }
}
