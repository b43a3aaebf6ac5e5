package org.geraniumusher.http;

import com.google.common.collect.ImmutableMap;

import io.netty.handler.codec.http.QueryStringDecoder;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP request with its complete body, as used between daemons, tools, backend servers and the
 * store. Immutable and thread-safe as long as nobody writes to the body array, which is not copied.
 *
 * @param uri the request target: the encoded path and query
 * @param headers header fields with names in lower case, one value per name
 */
public record HttpCall(String method, String uri, Map<String, String> headers, byte[] body) {
    /** Creates a request with a copy of {@code headers}. */
    public HttpCall {
        headers = ImmutableMap.copyOf(headers);
    }

    /** Returns a request without header fields and body. */
    public static HttpCall of(String method, String uri) {
        return new HttpCall(method, uri, ImmutableMap.of(), new byte[0]);
    }

    /** Returns a request without header fields and with {@code body} in UTF-8. */
    public static HttpCall of(String method, String uri, String body) {
        return new HttpCall(method, uri, ImmutableMap.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a copy in which the header field {@code name}, in lower case, has this value. */
    public HttpCall withHeader(String name, String value) {
        ImmutableMap.Builder<String, String> copy = ImmutableMap.builder();
        copy.putAll(headers);
        copy.put(name, value);
        return new HttpCall(method, uri, copy.buildKeepingLast(), body);
    }

    /** Returns the percent-decoded path, without the query. */
    public String path() {
        return new QueryStringDecoder(uri).path();
    }

    /** Returns the first value of a query parameter, decoded, or empty if there is none. */
    public Optional<String> query(String name) {
        var values = new QueryStringDecoder(uri).parameters().get(name);
        return values == null || values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
    }

    /** Returns the value of the header field {@code name}, given in lower case. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
