package org.geraniumusher.tool;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSortedMap;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.platform.StoredObject;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Sets and removes labels of one object. A conflict with a change that left these labels alone is
 * tried again on top of it, at most {@link #MAX_RETRIES} times.
 *
 * @param labels new values; empty for a label that is removed
 */
record LabelChange(ImmutableSortedMap<String, Optional<String>> labels) {
    static final int MAX_RETRIES = 3;
    private static final String FIELD = "labels";

    static LabelChange set(String name, String value) {
        return new LabelChange(ImmutableSortedMap.of(name, Optional.of(value)));
    }

    static LabelChange remove(String name) {
        return new LabelChange(ImmutableSortedMap.of(name, Optional.empty()));
    }

    /** Parses {@code name=value} and {@code name-}. */
    static LabelChange of(List<String> arguments) {
        Map<String, Optional<String>> labels = new TreeMap<>();
        for (String argument : arguments) {
            int equal = argument.indexOf('=');
            checkArgument(
                    equal > 0 || (equal < 0 && argument.length() > 1 && argument.endsWith("-")),
                    "bad label: %s, use NAME=VALUE or NAME-",
                    argument);
            if (equal > 0) {
                labels.put(
                        argument.substring(0, equal), Optional.of(argument.substring(equal + 1)));
            } else {
                labels.put(argument.substring(0, argument.length() - 1), Optional.empty());
            }
        }
        return new LabelChange(ImmutableSortedMap.copyOf(labels));
    }

    /** Changes the labels; returns the object as stored, unchanged when nothing was to do. */
    Result<StoredObject> apply(ObjectClient objects, String kind, String name) {
        return objects.get(kind, name).then(base -> write(objects, base, 0));
    }

    private Result<StoredObject> write(ObjectClient objects, StoredObject base, int retries) {
        JsonNode spec = changed(base.spec());
        if (spec.equals(base.spec())) {
            return Result.ok(base);
        }
        Result<StoredObject> result =
                objects.put(
                        new StoredObject(
                                base.kind(), base.name(), base.version(), objects.writer(), spec));
        if (!(result instanceof Result.Failed<StoredObject> failed)
                || failed.failure().code() != ResultCode.CONFLICT) {
            return result;
        }
        Optional<StoredObject> now = failed.failure().current();
        if (now.isPresent() && retries < MAX_RETRIES && !touchesLabels(base, now.get())) {
            return write(objects, now.get(), retries + 1);
        }
        return Result.failed(
                Conflicts.explain(
                        failed.failure(), Optional.of(base), base.kind() + " " + base.name()));
    }

    private JsonNode changed(JsonNode spec) {
        ObjectNode copy = spec.deepCopy();
        ObjectNode values =
                copy.get(FIELD) instanceof ObjectNode present ? present : copy.putObject(FIELD);
        labels.forEach(
                (name, value) -> {
                    if (value.isPresent()) {
                        values.put(name, value.get());
                    } else {
                        values.remove(name);
                    }
                });
        return copy;
    }

    private boolean touchesLabels(StoredObject before, StoredObject now) {
        SpecDiff diff = SpecDiff.of(before.spec(), now.spec());
        return labels.keySet().stream().anyMatch(name -> diff.touches(FIELD + "." + name));
    }
}
