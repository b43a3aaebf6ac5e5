package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.handler.codec.http.HttpResponse;

import java.util.List;

/**
 * A complete response of a backend server. Not copied: neither the head nor the body may be
 * changed.
 *
 * @param head status line and headers
 */
record UpstreamResponse(HttpResponse head, byte[] body) {
    UpstreamResponse {
        checkNotNull(head);
        checkNotNull(body);
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
