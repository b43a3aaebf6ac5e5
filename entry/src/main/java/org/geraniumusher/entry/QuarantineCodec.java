package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.quarantine.Quarantine;
import org.geraniumusher.quarantine.RequestFingerprint;

/** Converts quarantines to and from store objects, whose name is the fingerprint. */
final class QuarantineCodec {
    private static final String STATE = "state";
    private static final String SERVICE = "service";
    private static final String TARGET = "target";
    private static final String INCARNATIONS = "incarnations";
    private static final String SINCE_MILLIS = "since_ms";
    private static final String DURATION_MILLIS = "duration_ms";

    private QuarantineCodec() {}

    static ObjectNode encode(Quarantine quarantine) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        spec.put(STATE, quarantine.state().name());
        spec.put(SERVICE, quarantine.service());
        spec.put(TARGET, quarantine.target());
        ArrayNode incarnations = spec.putArray(INCARNATIONS);
        quarantine.incarnations().forEach(incarnations::add);
        spec.put(SINCE_MILLIS, quarantine.sinceMillis());
        spec.put(DURATION_MILLIS, quarantine.durationMillis());
        return spec;
    }

    /**
     * Decodes a quarantine.
     *
     * @throws IllegalArgumentException if the object is not a quarantine
     */
    static Quarantine decode(StoreObject object) {
        JsonNode spec = object.spec();
        checkArgument(spec.path(STATE).isTextual(), "no text field \"state\" in %s", spec);
        ImmutableList.Builder<String> incarnations = ImmutableList.builder();
        spec.path(INCARNATIONS).forEach(i -> incarnations.add(i.asText()));
        return new Quarantine(
                new RequestFingerprint(object.name()),
                Quarantine.State.valueOf(spec.path(STATE).asText()),
                spec.path(SERVICE).asText(),
                spec.path(TARGET).asText(),
                incarnations.build(),
                spec.path(SINCE_MILLIS).asLong(),
                spec.path(DURATION_MILLIS).asLong());
    }
}
