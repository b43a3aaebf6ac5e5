package org.geraniumusher.peer;

import com.fasterxml.jackson.databind.JsonMappingException;

import org.geraniumusher.dissemination.Change;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.model.Kind;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WatchEvent;

import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Reads changes of the configuration from stored JSON. An object that cannot be used becomes a
 * refusal with field and reason. Thread-safe.
 */
public final class ChangeReader {
    private ChangeReader() {}

    /** Returns the change of a watch event, or empty when it is not about configuration. */
    public static Optional<Change> ofEvent(WatchEvent event) {
        if (event.type() == WatchEvent.Type.BOOKMARK) {
            return Optional.empty();
        }
        StoredObject object = event.object();
        Optional<Kind> kind = Kind.ofPath(object.kind());
        if (event.type() == WatchEvent.Type.DELETE) {
            return kind.map(k -> Change.delete(event.version(), k, object.name()));
        }
        return kind.map(k -> put(event.version(), k, object.name(), object.spec().toString()));
    }

    /** Returns the last change of a listed object, or empty when it is not configuration. */
    public static Optional<Change> ofObject(StoredObject object) {
        return Kind.ofPath(object.kind())
                .map(kind -> put(object.version(), kind, object.name(), object.spec().toString()));
    }

    /** Returns the change that puts an object given as JSON. */
    static Change put(long version, Kind kind, String name, String json) {
        try {
            ConfigObject object = Json.read(json, kind.type());
            if (object == null) {
                return Change.invalid(version, kind, name, "", "object is null");
            }
            if (!object.name().equals(name)) {
                String reason = "name is " + object.name() + " in the object named " + name;
                return Change.invalid(version, kind, name, "name", reason);
            }
            return Change.put(version, object);
        } catch (IllegalArgumentException e) {
            return Change.invalid(version, kind, name, fieldOf(e), e.getMessage());
        }
    }

    private static String fieldOf(IllegalArgumentException e) {
        if (e.getCause() instanceof JsonMappingException mapping) {
            return mapping.getPath().stream()
                    .map(JsonMappingException.Reference::getFieldName)
                    .map(field -> field == null ? "[]" : field)
                    .collect(Collectors.joining("."));
        }
        return "";
    }
}
