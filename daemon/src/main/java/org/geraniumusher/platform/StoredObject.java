package org.geraniumusher.platform;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds one object as the object API stores it. Treat the specification as read-only.
 *
 * @param version revision of the store in which the object was last written
 * @param writer who wrote it, for conflict messages
 */
public record StoredObject(String kind, String name, long version, String writer, JsonNode spec) {
    /** Refuses empty names. */
    public StoredObject {
        checkArgument(kind != null && !kind.isBlank(), "object without a kind");
        checkArgument(name != null && !name.isBlank(), "object without a name");
    }
}
