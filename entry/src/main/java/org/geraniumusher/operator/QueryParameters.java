package org.geraniumusher.operator;

import org.geraniumusher.http.HttpCall;

/** Reads and validates query parameters of HTTP calls. */
public final class QueryParameters {
    private QueryParameters() {}

    /**
     * Returns the value of a query parameter.
     *
     * @throws IllegalArgumentException if the parameter is missing or empty
     */
    public static String required(HttpCall call, String name) {
        return call.query(name)
                .filter(value -> !value.isEmpty())
                .orElseThrow(
                        () -> new IllegalArgumentException("missing query parameter: " + name));
    }

    /**
     * Returns the value of a numeric query parameter.
     *
     * @throws IllegalArgumentException if the parameter is missing or not a number of 1 to 18
     *     digits, which always fits a long
     */
    public static long requiredNumber(HttpCall call, String name) {
        String text = required(call, name);
        if (!text.matches("\\d{1,18}")) {
            throw new IllegalArgumentException(
                    "not a number of 1 to 18 digits in query parameter " + name + ": " + text);
        }
        return Long.parseLong(text);
    }
}
