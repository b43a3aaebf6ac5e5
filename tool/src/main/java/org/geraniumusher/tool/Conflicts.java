package org.geraniumusher.tool;

import org.geraniumusher.platform.StoredObject;

import java.util.Optional;
import java.util.stream.Collectors;

/** Says in a conflict who changed what since the tool read the object. */
final class Conflicts {
    private Conflicts() {}

    /** Returns the failure with a message that names the writer and the fields. */
    static Failure explain(Failure failure, Optional<StoredObject> base, String id) {
        if (failure.current().isEmpty()) {
            return failure.withMessage(id + ": " + failure.message());
        }
        StoredObject now = failure.current().get();
        String who = id + " was written by " + now.writer() + " at version " + now.version();
        return failure.withMessage(who + base.map(old -> ": " + describe(old, now)).orElse(""));
    }

    private static String describe(StoredObject before, StoredObject now) {
        SpecDiff diff = SpecDiff.of(before.spec(), now.spec());
        return diff.isEmpty()
                ? "no field changed"
                : diff.changes().stream()
                        .map(c -> c.path() + " " + side(c.before()) + " -> " + side(c.after()))
                        .collect(Collectors.joining(", "));
    }

    private static String side(String text) {
        return text.isEmpty() ? "(absent)" : text;
    }
}
