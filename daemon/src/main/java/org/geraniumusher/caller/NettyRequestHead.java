package org.geraniumusher.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;

import org.geraniumusher.routing.RequestHead;

import java.util.Locale;
import java.util.Optional;

/** Shows a Netty request to the decisions. The request must not be changed while they use it. */
record NettyRequestHead(HttpRequest request) implements RequestHead {
    @Override
    public String method() {
        return request.method().name();
    }

    @Override
    public String host() {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        int colon = host.indexOf(':', host.indexOf(']') + 1);
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    @Override
    public String uri() {
        return request.uri();
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.headers().get(name));
    }
}
