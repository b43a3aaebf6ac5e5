package org.geraniumusher.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;

import org.geraniumusher.http.ReadDemand;
import org.geraniumusher.model.ResultCode;

/**
 * Handles one inbound connection: one request at a time, in order. A pipelined request is read only
 * after the response to the one before has been written. Confined to its event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private final CallerContext mContext;
    private final ResponseEncoder mEncoder;
    private ChannelHandlerContext mInbound;
    private Exchange mExchange;
    private ReadDemand mDemand;

    CallerConnection(CallerContext context, ResponseEncoder encoder) {
        mContext = context;
        mEncoder = encoder;
    }

    /** Reports whether the connection stays open after the response to {@code request}. */
    boolean keepsAlive(HttpRequest request) {
        return HttpUtil.isKeepAlive(request) && !mContext.isDraining();
    }

    /** Tells the encoder which request the next response answers. */
    void expectResponseTo(HttpRequest request) {
        mEncoder.expect(request.method().equals(HttpMethod.HEAD));
    }

    /** Is called once per exchange, after its last write. */
    void onExchangeEnded(boolean keepAlive) {
        if (mExchange == null) {
            return;
        }
        mExchange = null;
        mContext.onExchangeEnded();
        if (keepAlive) {
            readNext();
        } else {
            mInbound.close();
        }
    }

    /** Asks for the next message, at most once until it comes. */
    void readNext() {
        mDemand.request();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mInbound = context;
        mDemand = ReadDemand.create(context.channel());
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (mContext.addConnection()) {
            readNext();
        } else {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mContext.removeConnection();
        Exchange exchange = mExchange;
        if (exchange != null) {
            mExchange = null;
            mContext.onExchangeEnded();
            exchange.onCallerGone();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mDemand.onMessage();
        if (message instanceof HttpRequest request) {
            onRequest(context, request);
        } else if (message instanceof HttpContent content) {
            onContent(context, content);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mDemand.onReadComplete();
    }

    private void onRequest(ChannelHandlerContext context, HttpRequest request) {
        boolean isBad =
                request.decoderResult().isFailure()
                        || request.method().equals(HttpMethod.CONNECT)
                        || request.headers().getAll(HttpHeaderNames.HOST).size() > 1;
        if (isBad) {
            refuseAndClose(context);
            return;
        }
        mContext.onExchangeStarted();
        mExchange = new Exchange(mContext, this, context, request);
        mExchange.start();
    }

    private void onContent(ChannelHandlerContext context, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            content.release();
            context.close();
        } else if (mExchange == null) {
            content.release();
            readNext();
        } else {
            mExchange.onContent(content);
        }
    }

    private void refuseAndClose(ChannelHandlerContext context) {
        FullHttpResponse response = Refusals.toResponse(ResultCode.BAD_REQUEST, 0, 0);
        mContext.onRefused(ResultCode.BAD_REQUEST);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(written -> context.close());
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
