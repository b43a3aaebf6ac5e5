package org.geraniumusher.platform;

import com.google.common.collect.ImmutableList;

import java.util.List;

/** Is the result of a read. */
public sealed interface ReadResult {
    /** Holds the objects found, maybe none, and the revision of the store at the read. */
    record Found(long version, List<StoredObject> objects) implements ReadResult {
        /** Copies the list. */
        public Found {
            objects = ImmutableList.copyOf(objects);
        }
    }

    /** Tells that the store did not answer. */
    record Unavailable(String reason) implements ReadResult {}
}
