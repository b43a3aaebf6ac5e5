package org.geraniumusher.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.operator.Replies;
import org.geraniumusher.platform.StoredObject;

import java.util.List;
import java.util.Optional;
import java.util.StringJoiner;

/** Reads, deletes and labels single objects. Not thread-safe. */
final class ObjectCommands {
    private final Context mContext;

    ObjectCommands(Context context) {
        mContext = context;
    }

    Optional<Failure> get(String kind, Optional<String> name) {
        Result<List<StoredObject>> found =
                name.isPresent()
                        ? mContext.objects().get(kind, name.get()).map(ImmutableList::of)
                        : mContext.objects().list(kind);
        return found.map(objects -> show(objects, name.isPresent())).findFailure();
    }

    Optional<Failure> delete(String kind, String name) {
        Result<StoredObject> base = mContext.objects().get(kind, name);
        return base.then(this::deleteVersion).map(this::showDeleted).findFailure();
    }

    Optional<Failure> label(String kind, String name, LabelChange change) {
        return change.apply(mContext.objects(), kind, name)
                .map(object -> show(ImmutableList.of(object), true))
                .findFailure();
    }

    private Result<Replies.Deleted> deleteVersion(StoredObject base) {
        Result<Replies.Deleted> result = mContext.objects().delete(base);
        if (result instanceof Result.Failed<Replies.Deleted> failed) {
            String id = base.kind() + " " + base.name();
            return Result.failed(Conflicts.explain(failed.failure(), Optional.of(base), id));
        }
        return result;
    }

    private Replies.Deleted showDeleted(Replies.Deleted reply) {
        mContext.output()
                .result(
                        reply,
                        () ->
                                String.format(
                                        "%s %s: deleted, version %d%n",
                                        reply.kind(), reply.name(), reply.version()));
        return reply;
    }

    private List<StoredObject> show(List<StoredObject> objects, boolean single) {
        Object json = single ? objects.get(0) : objects;
        mContext.output().result(json, () -> toTable(objects));
        return objects;
    }

    private static Table toTable(List<StoredObject> objects) {
        Table table = Table.of("NAME", "VERSION", "WRITER", "LABELS", "FIELDS");
        for (StoredObject object : objects) {
            table.row(
                    object.name(),
                    object.version(),
                    object.writer(),
                    pairs(object.spec().path("labels"), false),
                    pairs(object.spec(), true));
        }
        return table;
    }

    private static String pairs(JsonNode node, boolean top) {
        StringJoiner text = new StringJoiner(top ? " " : ",");
        node.properties().stream()
                .filter(e -> !top || !(e.getKey().equals("name") || e.getKey().equals("labels")))
                .filter(e -> !e.getValue().isNull())
                .forEach(e -> text.add(e.getKey() + "=" + valueText(e.getValue())));
        return text.toString();
    }

    private static String valueText(JsonNode value) {
        return value.isTextual() && !value.asText().contains(" ")
                ? value.asText()
                : value.toString();
    }
}
