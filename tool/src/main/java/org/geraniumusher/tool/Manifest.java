package org.geraniumusher.tool;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.ObjectCheck;
import org.geraniumusher.platform.StoredObject;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads objects from a JSON or TOML file.
 *
 * <p>The file holds one object, a JSON array, or the array {@code object}. An object has a {@code
 * kind} and the fields of its kind, or the form that {@code get --output json} prints, whose
 * version, when it is not 0, must still be current. Immutable.
 */
record Manifest(ImmutableList<StoredObject> objects) {
    private static final String LIST = "object";
    private static final String KIND = "kind";

    static Result<Manifest> read(Path file, String writer) {
        try {
            return Result.ok(parse(Files.readString(file), isToml(file), writer));
        } catch (JacksonException e) {
            return invalid(file + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            return invalid("cannot read " + file + " (" + e.getClass().getSimpleName() + ")");
        } catch (IllegalArgumentException e) {
            return invalid(file + ": " + e.getMessage());
        }
    }

    private static Result<Manifest> invalid(String message) {
        return Result.failed(Failure.of(ResultCode.INVALID_OBJECT, message));
    }

    private static boolean isToml(Path file) {
        return file.toString().endsWith(".toml");
    }

    private static Manifest parse(String text, boolean toml, String writer) throws IOException {
        ObjectMapper mapper = toml ? new TomlMapper() : new ObjectMapper();
        JsonNode root = mapper.readTree(text);
        JsonNode list = root.has(LIST) ? root.get(LIST) : root;
        ImmutableList.Builder<StoredObject> objects = ImmutableList.builder();
        if (list.isArray()) {
            list.forEach(node -> objects.add(toObject(node, writer)));
        } else {
            objects.add(toObject(list, writer));
        }
        return new Manifest(objects.build());
    }

    private static StoredObject toObject(JsonNode node, String writer) {
        checkArgument(node instanceof ObjectNode, "not an object: %s", node);
        checkArgument(node.path(KIND).isTextual(), "object without a kind: %s", node);
        String kind = node.get(KIND).asText();
        boolean stored = node.has("spec");
        JsonNode spec = stored ? node.get("spec") : ((ObjectNode) node).deepCopy().without(KIND);
        checkArgument(spec.path("name").isTextual(), "%s without a name: %s", kind, node);
        long version = stored ? node.path("version").asLong(0) : 0;
        return ObjectCheck.checked(
                new StoredObject(kind, spec.get("name").asText(), version, writer, spec),
                Configuration.of());
    }
}
