package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Limits the bytes that a peer sends in response to a request, and lets none through while no
 * response is expected. Placed before the HTTP decoder, it also counts what the decoder drops:
 * empty lines before a status line, interim responses and chunk extensions. Confined to the event
 * loop of its channel.
 *
 * <p>Invariant: the listener is called once per response at most, at the latest one read after the
 * limit was exceeded, and once for all unsolicited bytes of the connection.
 */
public final class ReceiveLimiter extends ChannelInboundHandlerAdapter {
    private final long mMaxBytes;
    private final Listener mListener;
    private long mReceivedBytes;
    private long mBodyBytes;
    private boolean mExpectsResponse;
    private boolean mReported;

    /** Is notified of bytes that must not be read on. Each method must close the channel. */
    public interface Listener {
        /** Called when a response exceeds the limit. */
        void onTooManyBytes();

        /** Called when bytes arrive although no response is expected. */
        void onUnsolicitedBytes();
    }

    /**
     * Creates a limiter.
     *
     * @param maxBytes limit of the bytes that {@link #onBody} does not account for
     */
    public ReceiveLimiter(long maxBytes, Listener listener) {
        mMaxBytes = maxBytes;
        mListener = checkNotNull(listener);
    }

    /** Starts to count anew, for the response to a request that is about to be sent. */
    public void onRequest() {
        mExpectsResponse = true;
        mReceivedBytes = 0;
        mBodyBytes = 0;
        mReported = false;
    }

    /** Records that the response is complete. */
    public void onResponseEnd() {
        mExpectsResponse = false;
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
        if (!mExpectsResponse) {
            ((ByteBuf) message).release();
            if (!mReported) {
                mReported = true;
                mListener.onUnsolicitedBytes();
            }
            return;
        }
        mReceivedBytes += ((ByteBuf) message).readableBytes();
        context.fireChannelRead(message);
        if (!mReported && mReceivedBytes - mBodyBytes > mMaxBytes) {
            mReported = true;
            mListener.onTooManyBytes();
        }
    }
}
