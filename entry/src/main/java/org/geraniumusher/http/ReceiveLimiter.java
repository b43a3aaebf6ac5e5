package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Limits the bytes that a peer sends in response to a request. Placed before the HTTP decoder, it
 * also counts what the decoder drops: empty lines before a status line, interim responses and chunk
 * extensions. Confined to the event loop of its channel.
 *
 * <p>Invariant: the listener is called once per response at most, at the latest one read after the
 * limit was exceeded.
 */
public final class ReceiveLimiter extends ChannelInboundHandlerAdapter {
    private final long mMaxBytes;
    private final Runnable mOnTooManyBytes;
    private long mReceivedBytes;
    private long mBodyBytes;
    private boolean mExceeded;

    /**
     * Creates a limiter.
     *
     * @param maxBytes limit of the bytes that {@link #onBody} does not account for
     * @param onTooManyBytes called when a response exceeds the limit; must close the channel
     */
    public ReceiveLimiter(long maxBytes, Runnable onTooManyBytes) {
        mMaxBytes = maxBytes;
        mOnTooManyBytes = checkNotNull(onTooManyBytes);
    }

    /** Starts to count anew, for the response to a request that is about to be sent. */
    public void onRequest() {
        mReceivedBytes = 0;
        mBodyBytes = 0;
        mExceeded = false;
    }

    /** Excludes bytes of a body, which the caller limits, from the limit. */
    public void onBody(int bytes) {
        mBodyBytes += bytes;
    }

    /** Returns the number of bytes that were received since the request was sent. */
    public long receivedBytes() {
        return mReceivedBytes;
    }

    /** Returns the part of these bytes that {@link #onBody} accounted for. */
    public long bodyBytes() {
        return mBodyBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        mReceivedBytes += ((ByteBuf) message).readableBytes();
        context.fireChannelRead(message);
        if (!mExceeded && mReceivedBytes - mBodyBytes > mMaxBytes) {
            mExceeded = true;
            mOnTooManyBytes.run();
        }
    }
}
