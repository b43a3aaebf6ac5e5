package org.geraniumusher.dissemination;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.dissemination.Change.Delete;
import org.geraniumusher.dissemination.Change.Invalid;
import org.geraniumusher.dissemination.Change.Put;
import org.geraniumusher.dissemination.SyncMessage.Delta;
import org.geraniumusher.dissemination.SyncMessage.Snapshot;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Kind;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Holds a daemon's copy of the configuration and the log of recent changes.
 *
 * <p>Store revisions have gaps, because other objects take revisions too, so a message says which
 * range of versions it covers. A change beyond a gap is in force at once ("early"), but does not
 * move the version until the gap is closed.
 *
 * <p>Invariants: the version never goes back; each object is that of the highest valid change known
 * about it, so the order of arrival does not matter. Not thread-safe.
 */
final class ConfigurationReplica {
    /** Changes kept for deltas; about five hours at 10,000 changes a day. */
    static final int LOG_CHANGES = 2_048;

    /** Most changes in one delta, which bounds its size; the receiver pulls the rest. */
    static final int DELTA_CHANGES = 256;

    /** Most changes held beyond a gap; more come again with the pull that closes the gap. */
    static final int MAX_EARLY = 256;

    private final TreeMap<Key, Change> mLast = new TreeMap<>();
    private final TreeMap<Long, Change> mLog = new TreeMap<>();
    private final TreeMap<Long, Change> mEarly = new TreeMap<>();
    private Configuration mConfiguration = Configuration.of();
    private long mVersion;
    private long mLogStart;

    /** Names an object. */
    private record Key(Kind kind, String name) implements Comparable<Key> {
        static Key of(Change change) {
            return new Key(change.kind(), change.name());
        }

        @Override
        public int compareTo(Key other) {
            int byKind = kind.compareTo(other.kind);
            return byKind != 0 ? byKind : name.compareTo(other.name);
        }
    }

    /**
     * Says what a message did.
     *
     * @param applied changes that were not known before, including refused ones
     * @param gap whether changes before those of the message are missing
     */
    record Result(ImmutableList<Change> applied, boolean advanced, boolean gap) {
        boolean isNew() {
            return advanced || !applied.isEmpty();
        }
    }

    /** Returns the version up to which all changes are in force. */
    long version() {
        return mVersion;
    }

    /** Returns the versions in force beyond a gap. */
    ImmutableSet<Long> early() {
        return ImmutableSet.copyOf(mEarly.keySet());
    }

    /** Returns the objects in force; the version is that of the last change contained. */
    Configuration configuration() {
        return mConfiguration;
    }

    /** Reports whether a daemon with {@code versions} has something that this one lacks. */
    boolean isBehind(Versions versions) {
        return versions.configuration() > mVersion
                || (mEarly.size() < MAX_EARLY
                        && versions.early().stream().anyMatch(version -> !isKnown(version)));
    }

    /** Takes a delta. */
    Result apply(Delta delta) {
        boolean gap = delta.base() > mVersion;
        ImmutableList<Change> fresh = fresh(delta.changes());
        ImmutableList.Builder<Change> applied = ImmutableList.builder();
        for (Change change : fresh) {
            if (gap || change.version() > delta.version()) {
                if (mEarly.size() >= MAX_EARLY) {
                    continue;
                }
                mEarly.put(change.version(), change);
            } else {
                mLog.put(change.version(), change);
            }
            applyOne(change);
            applied.add(change);
        }
        boolean advanced = !gap && advanceTo(delta.version());
        return finish(applied.build(), advanced, gap);
    }

    /** Takes the whole configuration, unless it is older than what is in force. */
    Result apply(Snapshot snapshot) {
        if (snapshot.version() < mVersion) {
            return new Result(ImmutableList.of(), false, false);
        }
        ImmutableList<Change> fresh = fresh(snapshot.objects());
        removeUnlisted(snapshot);
        for (Change change : snapshot.objects()) {
            applyOne(change);
            if (change.version() > snapshot.version()) {
                mEarly.put(change.version(), change);
            }
        }
        boolean advanced = snapshot.version() > mVersion;
        if (advanced) {
            mLog.clear();
            mLogStart = snapshot.version();
            advanceTo(snapshot.version());
        }
        return finish(fresh, advanced, false);
    }

    /**
     * Returns what a daemon at {@code version} lacks: a delta, or a snapshot if the log is short.
     */
    SyncMessage changesSince(long version) {
        if (version < mLogStart) {
            return snapshot();
        }
        ImmutableList<Change> later =
                mLog.tailMap(version, false).values().stream()
                        .limit(DELTA_CHANGES)
                        .collect(ImmutableList.toImmutableList());
        boolean whole = later.size() < DELTA_CHANGES;
        long upTo = whole ? Math.max(mVersion, version) : later.get(later.size() - 1).version();
        Stream<Change> early = mEarly.tailMap(upTo, false).values().stream();
        ImmutableList<Change> changes =
                Stream.concat(later.stream(), early).collect(ImmutableList.toImmutableList());
        return new Delta(version, upTo, Math.max(mVersion, upTo), changes);
    }

    private Snapshot snapshot() {
        Stream<Change> refused =
                mEarly.values().stream().filter(change -> change.content() instanceof Invalid);
        return new Snapshot(
                mVersion,
                Stream.concat(mLast.values().stream(), refused)
                        .collect(ImmutableList.toImmutableList()));
    }

    private ImmutableList<Change> fresh(ImmutableList<Change> changes) {
        return changes.stream()
                .filter(change -> !isKnown(change.version()))
                .collect(ImmutableList.toImmutableList());
    }

    private boolean isKnown(long version) {
        return version <= mVersion || mEarly.containsKey(version);
    }

    private void applyOne(Change change) {
        if (change.content() instanceof Invalid) {
            return;
        }
        mLast.merge(
                Key.of(change),
                change,
                (old, candidate) -> candidate.version() > old.version() ? candidate : old);
    }

    private void removeUnlisted(Snapshot snapshot) {
        Set<Key> listed = new HashSet<>();
        // A refused object still exists in the store, so its last good version stays.
        snapshot.objects().stream()
                .filter(
                        change ->
                                !(change.content() instanceof Invalid)
                                        || change.version() <= snapshot.version())
                .forEach(change -> listed.add(Key.of(change)));
        mLast.values()
                .removeIf(
                        change ->
                                change.version() <= snapshot.version()
                                        && !listed.contains(Key.of(change)));
    }

    private boolean advanceTo(long version) {
        if (version <= mVersion) {
            return false;
        }
        mVersion = version;
        Map<Long, Change> covered = mEarly.headMap(version, true);
        mLog.putAll(covered);
        covered.clear();
        mLog.headMap(mLogStart, true).clear();
        while (mLog.size() > LOG_CHANGES) {
            mLogStart = mLog.pollFirstEntry().getKey();
        }
        // A deletion has to be remembered only while an older change may still arrive.
        mLast.values()
                .removeIf(
                        change ->
                                change.content() instanceof Delete && change.version() <= mVersion);
        return true;
    }

    private Result finish(ImmutableList<Change> applied, boolean advanced, boolean gap) {
        Result result = new Result(applied, advanced, gap);
        if (result.isNew()) {
            mConfiguration = build();
        }
        return result;
    }

    private Configuration build() {
        Map<Kind, ImmutableMap.Builder<String, ConfigObject>> byKind = new EnumMap<>(Kind.class);
        for (Change change : mLast.values()) {
            if (change.content() instanceof Put put) {
                byKind.computeIfAbsent(change.kind(), kind -> ImmutableMap.builder())
                        .put(change.name(), put.object());
            }
        }
        ImmutableMap.Builder<Kind, ImmutableMap<String, ConfigObject>> objects =
                ImmutableMap.builder();
        byKind.forEach((kind, builder) -> objects.put(kind, builder.buildOrThrow()));
        long last = Optional.ofNullable(mEarly.lastEntry()).map(Map.Entry::getKey).orElse(0L);
        return new Configuration(Math.max(mVersion, last), objects.buildOrThrow());
    }
}
