package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds an object of the store. The content must not be changed.
 *
 * @param revision revision of its last change
 * @param content the whole object in the store's form
 * @param spec the part that its writer keeps
 */
public record StoreObject(String name, long revision, JsonNode content, JsonNode spec) {
    /** Refuses nulls. */
    public StoreObject {
        checkNotNull(name);
        checkNotNull(content);
        checkNotNull(spec);
    }
}
