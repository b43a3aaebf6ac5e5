package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.handler.codec.http.HttpResponse;

/** A whole response of a backend server. The body must not be changed. */
record UpstreamResponse(HttpResponse head, byte[] body) {
    UpstreamResponse {
        checkNotNull(head);
        checkNotNull(body);
    }

    int status() {
        return head.status().code();
    }

    String header(String name) {
        return head.headers().get(name);
    }
}
