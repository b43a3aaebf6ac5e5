package org.geraniumusher.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.geraniumusher.http.HeaderNames;
import org.geraniumusher.model.ResultCode;

import java.util.concurrent.TimeUnit;

/** Builds responses that the daemon itself gives. Thread-safe. */
final class Refusals {
    private Refusals() {}

    /** Returns a response with the code in its headers and in a JSON body. */
    static FullHttpResponse toResponse(ResultCode code, long retryAfterMillis, long id) {
        String json =
                String.format(
                        "{\"code\":%d,\"name\":\"%s\",\"outcome\":\"%s\",\"message\":\"%s\","
                                + "\"requestId\":\"%x\"}\n",
                        code.number(), code.name(), code.outcome().text(), code.meaning(), id);
        ByteBuf body = ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, json);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(code.httpStatus()), body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HeaderNames.RESULT, code.number())
                .set(HeaderNames.OUTCOME, code.outcome().text());
        HttpUtil.setContentLength(response, body.readableBytes());
        if (retryAfterMillis > 0) {
            long seconds = TimeUnit.MILLISECONDS.toSeconds(retryAfterMillis + 999);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }
}
