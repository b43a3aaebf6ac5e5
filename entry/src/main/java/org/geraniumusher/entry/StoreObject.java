package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the {@link Store}.
 *
 * <p>Thread-safe as long as nobody modifies the JSON trees, which are not copied.
 *
 * @param name name, unique within its {@link StoreKind}
 * @param revision revision of the store at the last change of this object
 * @param content the whole object as the store returned it
 * @param spec the part of {@code content} that the writer of the object supplies
 */
public record StoreObject(String name, long revision, JsonNode content, JsonNode spec) {
    /** Throws {@link NullPointerException} if a component is null. */
    public StoreObject {
        checkNotNull(name);
        checkNotNull(content);
        checkNotNull(spec);
    }
}
