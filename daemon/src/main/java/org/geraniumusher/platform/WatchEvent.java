package org.geraniumusher.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Is one line of a watch. A bookmark only moves the version forward.
 *
 * @param version revision of the store that the event made
 * @param object the object, as it was before a deletion; null in a bookmark
 */
public record WatchEvent(Type type, long version, StoredObject object) {
    /** Names what happened. */
    public enum Type {
        /** The object was created or replaced. */
        @JsonProperty("put")
        PUT,
        /** The object was deleted. */
        @JsonProperty("delete")
        DELETE,
        /** Nothing changed up to the version. */
        @JsonProperty("bookmark")
        BOOKMARK
    }
}
