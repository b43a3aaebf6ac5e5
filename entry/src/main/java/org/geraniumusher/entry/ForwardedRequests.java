package org.geraniumusher.entry;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import org.geraniumusher.traffic.ServerEntry;

/** Builds requests to backend servers. */
final class ForwardedRequests {
    private static final long MILLI_NANOS = 1_000_000;

    private ForwardedRequests() {}

    /** Returns the request of a caller as it goes to a server. */
    static FullHttpRequest build(
            Exchange exchange, ServerEntry server, HeaderNames names, long nowNanos) {
        Exchange.Content content = exchange.content();
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        content.method(),
                        content.uri(),
                        Unpooled.wrappedBuffer(content.body()));
        HttpHeaders headers = request.headers();
        headers.set(content.headers());
        HopHeaders.remove(headers);
        long left = Math.max(1, (exchange.deadlineAt() - nowNanos) / MILLI_NANOS);
        headers.set(names.deadlineMillis(), left);
        headers.set(names.expectedServer(), server.id());
        if (content.body().length > 0 || !content.method().equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.body().length);
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        return request;
    }
}
