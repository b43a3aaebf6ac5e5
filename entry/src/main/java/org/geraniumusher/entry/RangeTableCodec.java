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

import java.util.ArrayList;
import java.util.List;

/** Converts tables of key ranges to the form in which the store keeps them, and back. */
final class RangeTableCodec {
    private RangeTableCodec() {}

    static ObjectNode encode(List<Assignment> assignments) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
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

    static RangeTable decode(long revision, JsonNode spec) {
        return RangeTable.of(revision, decodeAssignments(spec));
    }

    static List<Assignment> decodeAssignments(JsonNode spec) {
        JsonNode ranges = spec.path("ranges");
        checkArgument(ranges.isArray(), "no ranges in %s", spec);
        List<Assignment> assignments = new ArrayList<>();
        for (JsonNode range : ranges) {
            ImmutableList.Builder<String> previous = ImmutableList.builder();
            range.path("previous").forEach(life -> previous.add(life.asText()));
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
