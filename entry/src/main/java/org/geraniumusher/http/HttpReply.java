package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * An HTTP response with its complete body, the counterpart of {@link HttpCall}. Immutable and
 * thread-safe as long as nobody writes to the body array, which is not copied.
 *
 * @param status the HTTP status code
 * @param headers header fields; {@link HttpClient} returns their names in lower case
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {
    /** Creates a response with a copy of {@code headers}; the body must not be null. */
    public HttpReply {
        headers = ImmutableMap.copyOf(headers);
        checkNotNull(body);
    }

    /** Creates a response without header fields. */
    public HttpReply(int status, byte[] body) {
        this(status, ImmutableMap.of(), body);
    }

    /** Returns a copy in which the header field {@code name} has this value. */
    public HttpReply withHeader(String name, String value) {
        ImmutableMap.Builder<String, String> copy = ImmutableMap.builder();
        copy.putAll(headers).put(name, value);
        return new HttpReply(status, copy.buildKeepingLast(), body);
    }

    /** Returns a response without header fields and with {@code body} in UTF-8. */
    public static HttpReply of(int status, String body) {
        return new HttpReply(status, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns whether the status code is 2xx. */
    public boolean isOk() {
        return status / 100 == 2;
    }
}
