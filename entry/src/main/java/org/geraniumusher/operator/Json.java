package org.geraniumusher.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Converts between values and JSON. Unknown fields are errors. Thread-safe. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /** Writes a value as one line of JSON. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value cannot be written as JSON: " + value, e);
        }
    }

    /** Reads a value; throws {@link IllegalArgumentException} with the field and the reason. */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(reason(e), e);
        }
    }

    /** Reads a tree; throws {@link IllegalArgumentException} when it is not JSON. */
    public static JsonNode readTree(String text) {
        return read(text, JsonNode.class);
    }

    private static String reason(JsonProcessingException e) {
        Throwable cause = e.getCause();
        String text = cause instanceof IllegalArgumentException ? cause.getMessage() : null;
        return text != null ? text : e.getOriginalMessage();
    }
}
