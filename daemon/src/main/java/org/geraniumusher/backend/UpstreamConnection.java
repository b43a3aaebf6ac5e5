package org.geraniumusher.backend;

import static com.google.common.base.Preconditions.checkState;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;

import org.geraniumusher.http.ReadDemand;

import java.io.IOException;

/**
 * Is one connection to a backend server or a gateway daemon, used by one request at a time.
 *
 * <p>While it is in the pool a read is pending, so that a close by the peer is seen; data that
 * arrives then belongs to no request and closes the connection. A connection whose response was not
 * read to its end is never reused, so a late response reaches nobody. Confined to its event loop.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private final UpstreamPool mPool;
    private Channel mChannel;
    private UpstreamListener mListener;
    private ReadDemand mDemand;

    UpstreamConnection(UpstreamPool pool) {
        mPool = pool;
    }

    /** Writes a part of the request without flushing it. */
    public ChannelFuture write(HttpObject part) {
        return mChannel.write(part);
    }

    /** Flushes the parts written so far. */
    public void flush() {
        mChannel.flush();
    }

    /** Asks for the next part of the response, at most once until it comes. */
    public void read() {
        mDemand.request();
    }

    /** Returns the connection to the pool; the response must have been read to its end. */
    public void release() {
        checkState(mListener != null, "connection is not in use");
        mListener = null;
        mPool.release(this);
        read();
    }

    /** Closes the connection; the listener is not called any more. */
    public void close() {
        mListener = null;
        mChannel.close();
    }

    void use(UpstreamListener listener) {
        checkState(mListener == null, "connection is in use");
        mListener = listener;
        listener.onConnected(this);
    }

    boolean isActive() {
        return mChannel.isActive();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mDemand = ReadDemand.create(mChannel);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mDemand.onMessage();
        UpstreamListener listener = mListener;
        if (listener == null) {
            ReferenceCountUtil.release(message);
            context.close();
        } else if (message instanceof HttpResponse response) {
            receiveHead(response, listener);
        } else if (message instanceof HttpContent content) {
            receiveContent(content, listener);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mDemand.onReadComplete();
    }

    private void receiveHead(HttpResponse response, UpstreamListener listener) {
        if (response.decoderResult().isFailure()) {
            fail(response.decoderResult().cause());
        } else if (response.status().code() / 100 == 1
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            read();
        } else {
            listener.onHead(response);
        }
    }

    private void receiveContent(HttpContent content, UpstreamListener listener) {
        if (content.decoderResult().isFailure()) {
            content.release();
            fail(content.decoderResult().cause());
        } else {
            listener.onContent(content);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.remove(this);
        fail(new IOException("connection closed by the peer"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause);
    }

    private void fail(Throwable cause) {
        UpstreamListener listener = mListener;
        mListener = null;
        mChannel.close();
        if (listener != null) {
            listener.onBroken(cause);
        }
    }
}
