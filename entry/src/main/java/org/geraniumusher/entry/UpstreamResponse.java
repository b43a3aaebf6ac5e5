package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.handler.codec.http.HttpResponse;

import java.util.List;

/**
 * A complete response of a backend server. Not copied: neither the head nor the body may be
 * changed.
 *
 * @param head status line and headers
 * @param connection connection on which it came, as {@link UpstreamConnection#describe} names it
 */
record UpstreamResponse(HttpResponse head, byte[] body, String connection) {
    UpstreamResponse {
        checkNotNull(head);
        checkNotNull(body);
        checkNotNull(connection);
    }

    int status() {
        return head.status().code();
    }

    /** Returns the first value of a header, or null if the response doesn't have it. */
    String header(String name) {
        return head.headers().get(name);
    }

    /** Returns the values of all fields of a header, in their order. */
    List<String> headers(String name) {
        return head.headers().getAll(name);
    }
}
