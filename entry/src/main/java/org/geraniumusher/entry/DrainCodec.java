package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.geraniumusher.model.Selector;
import org.geraniumusher.traffic.Drain;

/** Converts drains to and from store objects. */
final class DrainCodec {
    private static final String SELECTOR = "selector";

    private DrainCodec() {}

    static ObjectNode encode(Drain drain) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        return spec.put(SELECTOR, drain.selector().toString());
    }

    /** Decodes a drain; throws {@link IllegalArgumentException} if the object is not a drain. */
    static Drain decode(StoreObject object) {
        JsonNode selector = object.spec().path(SELECTOR);
        checkArgument(selector.isTextual(), "no text field \"selector\" in %s", object.spec());
        return new Drain(object.name(), Selector.of(selector.asText()));
    }
}
