package org.geraniumusher.dissemination;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.Kind;

/**
 * Is one change of the configuration that the store has accepted. Immutable and thread-safe.
 *
 * @param version revision of the store that the change made
 */
public record Change(long version, Kind kind, String name, Content content) {
    /** Refuses nulls and versions before the first. */
    public Change {
        checkArgument(version > 0, "bad version: %s", version);
        checkNotNull(kind, "kind");
        checkNotNull(name, "name");
        checkNotNull(content, "content");
    }

    /** Is what became of the object. */
    public sealed interface Content {}

    /** The object was created or replaced. */
    public record Put(ConfigObject object) implements Content {}

    /** The object was deleted. */
    public record Delete() implements Content {}

    /**
     * The object cannot be used; the last good one stays in force.
     *
     * @param field path of the offending field, or "" when the object as a whole is at fault
     */
    public record Invalid(String field, String reason) implements Content {}

    /** Returns the creation or replacement of an object. */
    public static Change put(long version, ConfigObject object) {
        return new Change(version, object.kind(), object.name(), new Put(object));
    }

    /** Returns the deletion of an object. */
    public static Change delete(long version, Kind kind, String name) {
        return new Change(version, kind, name, new Delete());
    }

    /** Returns the refusal of an object. */
    public static Change invalid(
            long version, Kind kind, String name, String field, String reason) {
        return new Change(version, kind, name, new Invalid(field, reason));
    }
}
