package org.geraniumusher.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Converts between objects and JSON. Unknown fields are rejected. Thread-safe. */
public final class Json {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /**
     * Serializes {@code value} as one line of JSON.
     *
     * @throws IllegalStateException if the value cannot be serialized
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize value as JSON: " + value, e);
        }
    }

    /**
     * Parses {@code text} as a value of {@code type}.
     *
     * @throws IllegalArgumentException if the text is not valid JSON or does not match the type;
     *     the message names the field and the reason
     */
    public static <T> T read(String text, Class<T> type) {
        try {
            return MAPPER.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(describe(e), e);
        }
    }

    /**
     * Parses {@code text} as a JSON tree.
     *
     * @throws IllegalArgumentException if the text is not valid JSON
     */
    public static JsonNode readTree(String text) {
        return read(text, JsonNode.class);
    }

    /** Prefers the message of a failed argument check in the constructor of the parsed type. */
    private static String describe(JsonProcessingException e) {
        Throwable cause = e.getCause();
        String text = cause instanceof IllegalArgumentException ? cause.getMessage() : null;
        return text != null ? text : e.getOriginalMessage();
    }
}
