package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;

import org.geraniumusher.traffic.BodyBudget;

import java.util.Arrays;
import java.util.function.IntSupplier;

/**
 * Aggregates requests, with their bodies on the heap. One that is not accepted is passed on without
 * a body and with the failure as its decoder result, so that the next handler can answer it after
 * the requests before it: a {@link TooLongHttpContentException} if its body is longer than allowed,
 * a {@link BodyRejectedException} if the budget has no room for it. The rest of its body is
 * discarded. Confined to the event loop of its channel; each connection has its own aggregator.
 *
 * <p>Invariant: the memory of each body is reserved in the budget before it is allocated. That of a
 * body with a known length is reserved before any of it is read.
 */
public final class RequestAggregator extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MIN_CAPACITY = 1_024;
    private static final byte[] NO_BYTES = new byte[0];

    private final IntSupplier mMaxBodyBytesSupplier;
    private final BodyBudget mBudget;

    /** Largest body of the request that is being received, as of its head. */
    private int mMaxBodyBytes;

    /** Head of the request whose body is being received, or null if there is none. */
    private HttpRequest mHead;

    private byte[] mBytes = NO_BYTES;
    private int mSize;

    /**
     * Creates an aggregator.
     *
     * @param maxBodyBytes returns the size of the largest body that is accepted now
     * @param budget memory for the bodies of all connections of the event loop
     */
    public RequestAggregator(IntSupplier maxBodyBytes, BodyBudget budget) {
        mMaxBodyBytesSupplier = checkNotNull(maxBodyBytes);
        mBudget = checkNotNull(budget);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (part instanceof HttpRequest head) {
            drop();
            begin(context, head);
        }
        if (part instanceof HttpContent content && mHead != null) {
            append(context, content);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest head) {
        mHead = head;
        mMaxBodyBytes = mMaxBodyBytesSupplier.getAsInt();
        if (head.decoderResult().isFailure()) {
            reject(context, head.decoderResult().cause());
            return;
        }
        long length = HttpUtil.getContentLength(head, 0L);
        if (length > mMaxBodyBytes) {
            rejectTooLong(context);
            return;
        }
        if (!ensureCapacity((int) length)) {
            rejectOverBudget(context, length);
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            head.headers().remove(HttpHeaderNames.EXPECT);
            context.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void append(ChannelHandlerContext context, HttpContent part) {
        if (part.decoderResult().isFailure()) {
            reject(context, part.decoderResult().cause());
            return;
        }
        ByteBuf content = part.content();
        int length = content.readableBytes();
        long size = (long) mSize + length;
        if (size > mMaxBodyBytes) {
            rejectTooLong(context);
            return;
        }
        if (!ensureCapacity((int) size)) {
            rejectOverBudget(context, size);
            return;
        }
        content.readBytes(mBytes, mSize, length);
        mSize += length;
        if (part instanceof LastHttpContent last) {
            finish(context, last);
        }
    }

    /** Makes room for a body of {@code bytes}; returns false if the budget has none. */
    private boolean ensureCapacity(int bytes) {
        if (bytes <= mBytes.length) {
            return true;
        }
        // The first allocation is the whole body if its length is known.
        long doubled = Math.max(MIN_CAPACITY, 2L * mBytes.length);
        int capacity =
                HttpUtil.isContentLengthSet(mHead)
                        ? bytes
                        : (int) Math.min(mMaxBodyBytes, Math.max(bytes, doubled));
        return resize(capacity);
    }

    /** Moves the bytes to an array of {@code capacity}; both count while they are in use. */
    private boolean resize(int capacity) {
        if (!mBudget.tryReserve(capacity)) {
            return false;
        }
        int former = mBytes.length;
        mBytes = Arrays.copyOf(mBytes, capacity);
        mBudget.release(former);
        return true;
    }

    private void finish(ChannelHandlerContext context, LastHttpContent last) {
        if (mSize < mBytes.length && !resize(mSize)) {
            rejectOverBudget(context, mSize);
            return;
        }
        HttpRequest head = mHead;
        HttpUtil.setTransferEncodingChunked(head, false);
        if (!HttpUtil.isContentLengthSet(head)) {
            HttpUtil.setContentLength(head, mSize);
        }
        ByteBuf body = mSize == 0 ? Unpooled.EMPTY_BUFFER : new BudgetedBody(mBytes, mBudget);
        // The body releases the memory from now on.
        mBytes = NO_BYTES;
        drop();
        context.fireChannelRead(
                new DefaultFullHttpRequest(
                        head.protocolVersion(),
                        head.method(),
                        head.uri(),
                        body,
                        head.headers(),
                        last.trailingHeaders()));
    }

    private void rejectTooLong(ChannelHandlerContext context) {
        reject(
                context,
                new TooLongHttpContentException("body is longer than " + mMaxBodyBytes + " bytes"));
    }

    private void rejectOverBudget(ChannelHandlerContext context, long bytes) {
        reject(
                context,
                new BodyRejectedException(
                        "no room for a body of "
                                + bytes
                                + " bytes, "
                                + mBudget.reservedBytes()
                                + " are in use"));
    }

    private void reject(ChannelHandlerContext context, Throwable cause) {
        HttpRequest head = mHead;
        drop();
        FullHttpRequest rejected =
                new DefaultFullHttpRequest(
                        head.protocolVersion(),
                        head.method(),
                        head.uri(),
                        Unpooled.EMPTY_BUFFER,
                        head.headers(),
                        EmptyHttpHeaders.INSTANCE);
        rejected.setDecoderResult(DecoderResult.failure(cause));
        context.fireChannelRead(rejected);
    }

    /** Forgets the request that is being received and frees its memory. */
    private void drop() {
        mBudget.release(mBytes.length);
        mBytes = NO_BYTES;
        mSize = 0;
        mHead = null;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        drop();
    }
}
