package org.geraniumusher.tool;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.platform.StoredObject;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Writes the objects of a file in their order and stops at the first failure. Nothing is written
 * when the file contains an invalid object. Not thread-safe.
 */
final class ApplyCommand {
    private final Context mContext;
    private final boolean mDryRun;
    private final Optional<Duration> mWait;
    private final List<Row> mRows = new ArrayList<>();

    ApplyCommand(Context context, boolean dryRun, Optional<Duration> wait) {
        mContext = context;
        mDryRun = dryRun;
        mWait = wait;
    }

    /**
     * Says what happened to one object.
     *
     * @param action created, changed, unchanged, or in a dry run what would happen
     * @param diff lines of the fields that change
     */
    record Row(String kind, String name, String action, long version, List<String> diff) {
        String toLine() {
            StringBuilder text = new StringBuilder(kind + " " + name + ": " + action);
            if (version > 0) {
                text.append(", version ").append(version);
            }
            diff.forEach(line -> text.append("\n  ").append(line));
            return text.append('\n').toString();
        }
    }

    Optional<Failure> run(Path file) {
        Result<Manifest> manifest = Manifest.read(file, mContext.objects().writer());
        Optional<Failure> failure = manifest.then(this::applyAll).findFailure();
        if (!mRows.isEmpty()) {
            mContext.output().result(mRows, this::toText);
        }
        return failure.isPresent() ? failure : awaitInForce();
    }

    private Result<Manifest> applyAll(Manifest manifest) {
        for (StoredObject object : manifest.objects()) {
            Result<Row> row = applyOne(object);
            Optional<Failure> failure = row.findFailure();
            if (failure.isPresent()) {
                return Result.failed(failure.get());
            }
            row.map(mRows::add);
        }
        return Result.ok(manifest);
    }

    private Result<Row> applyOne(StoredObject wanted) {
        return mContext.objects()
                .find(wanted.kind(), wanted.name())
                .then(current -> change(current, wanted));
    }

    private Result<Row> change(Optional<StoredObject> current, StoredObject wanted) {
        SpecDiff diff = SpecDiff.of(current.map(StoredObject::spec).orElse(null), wanted.spec());
        long version = current.map(StoredObject::version).orElse(0L);
        if (current.isPresent() && diff.isEmpty()) {
            return Result.ok(toRow(wanted, "unchanged", version, ImmutableList.of()));
        }
        String action = current.isPresent() ? "changed" : "created";
        if (mDryRun) {
            return Result.ok(toRow(wanted, "would be " + action, version, diff.toLines()));
        }
        long expected = wanted.version() > 0 ? wanted.version() : version;
        StoredObject update =
                new StoredObject(
                        wanted.kind(), wanted.name(), expected, wanted.writer(), wanted.spec());
        Result<StoredObject> result = mContext.objects().put(update);
        if (result instanceof Result.Failed<StoredObject> failed) {
            Optional<StoredObject> base = current.filter(now -> now.version() == expected);
            return Result.failed(explain(failed.failure(), base, wanted));
        }
        return result.map(now -> toRow(now, action, now.version(), diff.toLines()));
    }

    private static Failure explain(
            Failure failure, Optional<StoredObject> base, StoredObject wanted) {
        return Conflicts.explain(failure, base, wanted.kind() + " " + wanted.name());
    }

    private static Row toRow(StoredObject object, String action, long version, List<String> diff) {
        return new Row(object.kind(), object.name(), action, version, diff);
    }

    private String toText() {
        StringBuilder text = new StringBuilder();
        mRows.forEach(row -> text.append(row.toLine()));
        return text.toString();
    }

    private Optional<Failure> awaitInForce() {
        long version = mRows.stream().mapToLong(Row::version).max().orElse(0);
        return mWait.isEmpty() || mDryRun
                ? Optional.empty()
                : new InForceWait(mContext).awaitVersion(version, mWait.get());
    }
}
