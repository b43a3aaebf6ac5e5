package org.geraniumusher.routing;

import com.google.common.base.Splitter;

import org.geraniumusher.model.KeySource;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** Takes the key of a request from the place that its route names. Thread-safe. */
final class KeyExtractor {
    private static final Splitter SEGMENTS = Splitter.on('/');
    private static final Splitter PARAMETERS = Splitter.on('&');

    private KeyExtractor() {}

    /** Returns the decoded key, or empty when it is missing, empty or badly encoded. */
    static Optional<String> extract(KeySource source, RequestHead head) {
        Optional<String> raw =
                switch (source.place()) {
                    case PATH -> segment(path(head.uri()), Integer.parseInt(source.name()));
                    case HEADER -> head.header(source.name());
                    case QUERY -> parameter(head.uri(), source.name());
                };
        return raw.filter(key -> !key.isEmpty());
    }

    /** Returns the path of a request target without the query. */
    static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static Optional<String> segment(String path, int index) {
        List<String> segments =
                SEGMENTS.splitToList(path.startsWith("/") ? path.substring(1) : path);
        return index < segments.size()
                ? decode(segments.get(index).replace("+", "%2B"))
                : Optional.empty();
    }

    private static Optional<String> parameter(String uri, String name) {
        int query = uri.indexOf('?');
        if (query < 0) {
            return Optional.empty();
        }
        for (String pair : PARAMETERS.split(uri.substring(query + 1))) {
            if (pair.startsWith(name + "=")) {
                return decode(pair.substring(name.length() + 1));
            }
        }
        return Optional.empty();
    }

    private static Optional<String> decode(String text) {
        try {
            return Optional.of(URLDecoder.decode(text, StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
