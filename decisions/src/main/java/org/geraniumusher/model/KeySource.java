package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Says where a request carries its key: {@code path:N} (segment N, from 0), {@code header:NAME} or
 * {@code query:NAME}. Immutable and thread-safe.
 */
public record KeySource(Place place, String name) {
    /** Checks that a path segment is a number from 0 to 99. */
    public KeySource {
        checkArgument(!name.isBlank(), "key source without a name");
        checkArgument(
                place != Place.PATH || name.matches("\\d{1,2}"), "bad path segment: %s", name);
    }

    /** Parses the form {@code place:name}. */
    @JsonCreator
    public static KeySource of(String text) {
        int colon = text.indexOf(':');
        checkArgument(colon > 0, "bad key source: %s", text);
        String place = text.substring(0, colon);
        for (Place candidate : Place.values()) {
            if (candidate.mText.equals(place)) {
                return new KeySource(candidate, text.substring(colon + 1));
            }
        }
        throw new IllegalArgumentException("bad place of a key: " + place);
    }

    @JsonValue
    @Override
    public String toString() {
        return place.mText + ":" + name;
    }

    /** Names the part of a request that carries the key. */
    public enum Place {
        /** A segment of the path. */
        PATH("path"),
        /** A header field. */
        HEADER("header"),
        /** A query parameter. */
        QUERY("query");

        private final String mText;

        Place(String text) {
            mText = text;
        }
    }
}
