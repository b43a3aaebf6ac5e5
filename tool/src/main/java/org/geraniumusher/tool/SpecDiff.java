package org.geraniumusher.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import java.util.Set;
import java.util.TreeSet;

/** Lists the fields in which two specifications differ, sorted by path. Immutable. */
record SpecDiff(ImmutableList<Change> changes) {
    /**
     * Describes one field; an absent or null side is "".
     *
     * @param path names from the root, separated by dots
     */
    record Change(String path, String before, String after) {
        String toLine() {
            if (before.isEmpty()) {
                return "+ " + path + ": " + after;
            }
            return after.isEmpty()
                    ? "- " + path + ": " + before
                    : "~ " + path + ": " + before + " -> " + after;
        }
    }

    static SpecDiff of(JsonNode before, JsonNode after) {
        ImmutableList.Builder<Change> changes = ImmutableList.builder();
        compare("", before, after, changes);
        return new SpecDiff(changes.build());
    }

    boolean isEmpty() {
        return changes.isEmpty();
    }

    boolean touches(String path) {
        return changes.stream().anyMatch(change -> change.path().equals(path));
    }

    ImmutableList<String> toLines() {
        return changes.stream().map(Change::toLine).collect(ImmutableList.toImmutableList());
    }

    private static void compare(
            String path, JsonNode before, JsonNode after, ImmutableList.Builder<Change> changes) {
        if (isObject(before) || isObject(after)) {
            for (String name : names(before, after)) {
                String child = path.isEmpty() ? name : path + "." + name;
                compare(child, field(before, name), field(after, name), changes);
            }
        } else if (!text(before).equals(text(after))) {
            changes.add(new Change(path, text(before), text(after)));
        }
    }

    private static boolean isObject(JsonNode node) {
        return node != null && node.isObject();
    }

    private static JsonNode field(JsonNode node, String name) {
        return isObject(node) ? node.get(name) : null;
    }

    private static Set<String> names(JsonNode before, JsonNode after) {
        Set<String> names = new TreeSet<>();
        if (isObject(before)) {
            before.fieldNames().forEachRemaining(names::add);
        }
        if (isObject(after)) {
            after.fieldNames().forEachRemaining(names::add);
        }
        return names;
    }

    private static String text(JsonNode node) {
        return node == null || node.isNull() ? "" : node.toString();
    }
}
