package org.geraniumusher.operator;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.Service;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.StoredObject;

import java.util.Optional;
import java.util.regex.Pattern;

/** Checks objects before they are written. Thread-safe. */
public final class ObjectCheck {
    // Names are parts of paths of the object API, which does not escape them.
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    private ObjectCheck() {}

    /**
     * Returns the object with every default filled in; throws {@link IllegalArgumentException} with
     * the field and the reason when it is not valid.
     */
    public static StoredObject checked(StoredObject object, Configuration inForce) {
        checkArgument(
                object.writer() != null && !object.writer().isBlank(), "object without a writer");
        checkArgument(object.spec() != null, "object without a spec");
        name(object.name());
        checkArgument(object.version() >= 0, "bad version: %s", object.version());
        ConfigObject value = parse(kind(object.kind()), object.spec());
        checkArgument(
                value.name().equals(object.name()),
                "name %s in the spec of %s",
                value.name(),
                object.name());
        if (value instanceof Service service) {
            checkSlices(service, inForce.service(service.name()));
        }
        return new StoredObject(
                object.kind(),
                object.name(),
                object.version(),
                object.writer(),
                Json.toTree(value));
    }

    static Kind kind(String path) {
        return Kind.ofPath(path)
                .orElseThrow(() -> new IllegalArgumentException("unknown kind: " + path));
    }

    static String name(String text) {
        checkArgument(NAME.matcher(text).matches(), "bad name: %s", text);
        return text;
    }

    private static ConfigObject parse(Kind kind, JsonNode spec) {
        for (String field : requiredFields(kind)) {
            checkArgument(spec.path(field).isTextual(), "%s without %s", kind.path(), field);
        }
        return Json.fromTree(spec, kind.type());
    }

    private static ImmutableList<String> requiredFields(Kind kind) {
        return switch (kind) {
            case DATA_CENTRE -> ImmutableList.of("name", "region");
            case BACKEND_SERVER -> ImmutableList.of("name", "address", "dataCentre");
            case SERVICE -> ImmutableList.of("name", "selector");
            case ROUTE -> ImmutableList.of("name", "service");
        };
    }

    private static void checkSlices(Service service, Optional<Service> present) {
        present.ifPresent(
                old ->
                        checkArgument(
                                old.slices().equals(service.slices()),
                                "slices of service %s is fixed at %s",
                                service.name(),
                                old.slices()));
    }
}
