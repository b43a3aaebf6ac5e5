package org.geraniumusher.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Aggregates requests. One whose body is too long is passed on without a body and with the failure
 * as its decoder result, so that the next handler can answer it after the requests before it: the
 * superclass answers it at once and closes the connection, which drops the responses to earlier
 * pipelined requests. Not thread-safe; each connection has its own aggregator.
 */
public final class RequestAggregator extends HttpObjectAggregator {
    /** Creates an aggregator for bodies of at most {@code maxBodyBytes}. */
    public RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    /** Returns the response to an expectation, or null if there is none or the body is too long. */
    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        return HttpUtil.is100ContinueExpected(start)
                        && !isContentLengthInvalid(start, maxContentLength)
                ? super.newContinueResponse(start, maxContentLength, pipeline)
                : null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized)
            throws Exception {
        if (!(oversized instanceof HttpRequest head)) {
            super.handleOversizedMessage(context, oversized);
            return;
        }
        FullHttpRequest rejected =
                new DefaultFullHttpRequest(
                        head.protocolVersion(),
                        head.method(),
                        head.uri(),
                        Unpooled.EMPTY_BUFFER,
                        head.headers(),
                        EmptyHttpHeaders.INSTANCE);
        rejected.setDecoderResult(
                DecoderResult.failure(
                        new TooLongHttpContentException(
                                "body is longer than " + maxContentLength() + " bytes")));
        context.fireChannelRead(rejected);
    }
}
