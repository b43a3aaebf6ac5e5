package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.StoreVersion;

import java.util.ArrayList;
import java.util.List;

/** Converts key range tables to and from the JSON form that the store and the daemons use. */
final class RangeTableCodec {
    private static final String EPOCH = "epoch";

    private RangeTableCodec() {}

    /** Encodes assignments and the epoch of their table; its revision is not part of the result. */
    static ObjectNode encode(long epoch, List<Assignment> assignments) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        spec.put(EPOCH, epoch);
        ArrayNode ranges = spec.putArray("ranges");
        for (Assignment a : assignments) {
            ObjectNode range = ranges.addObject();
            range.put("first", a.range().first());
            range.put("last", a.range().last());
            range.put("owner", a.owner());
            range.put("fence", a.fence());
            if (a.isMoving()) {
                ArrayNode previous = range.putArray("previous");
                a.previous().forEach(previous::add);
            }
        }
        return spec;
    }

    /**
     * Decodes a table that the store has at {@code revision}; throws {@link
     * IllegalArgumentException} if the assignments are not a valid table. A table without an epoch
     * is of epoch 0.
     */
    static RangeTable decode(long revision, JsonNode spec) {
        return RangeTable.of(
                new StoreVersion(spec.path(EPOCH).asLong(), revision), decodeAssignments(spec));
    }

    /** Decodes what {@link #encode} wrote; throws {@link IllegalArgumentException} if it cannot. */
    static List<Assignment> decodeAssignments(JsonNode spec) {
        JsonNode ranges = spec.path("ranges");
        checkArgument(ranges.isArray(), "no array \"ranges\" in %s", spec);
        List<Assignment> assignments = new ArrayList<>();
        for (JsonNode range : ranges) {
            ImmutableList.Builder<String> previous = ImmutableList.builder();
            range.path("previous").forEach(id -> previous.add(id.asText()));
            assignments.add(
                    new Assignment(
                            new KeyRange(range.path("first").asInt(), range.path("last").asInt()),
                            range.path("owner").asText(),
                            range.path("fence").asLong(),
                            previous.build()));
        }
        return assignments;
    }
}
