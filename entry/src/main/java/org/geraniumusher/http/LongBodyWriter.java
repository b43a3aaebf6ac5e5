package org.geraniumusher.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Writes a long buffer of the heap in slices, each when the one before it has been sent: the
 * channel copies what it writes to direct memory. Placed before the HTTP codec. Confined to the
 * event loop of its channel.
 *
 * <p>Invariant: bytes are sent in the order of the writes.
 */
public final class LongBodyWriter extends ChannelOutboundHandlerAdapter {
    private static final int SLICE_BYTES = 64 << 10;

    /** Writes that are not complete; a slice of the first is in transmission. */
    private final Deque<Write> mWrites = new ArrayDeque<>();

    private record Write(Object message, ChannelPromise promise) {}

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (mWrites.isEmpty() && !isLong(message)) {
            context.write(message, promise);
            return;
        }
        mWrites.add(new Write(message, promise));
        if (mWrites.size() == 1) {
            writeNext(context);
        }
    }

    private static boolean isLong(Object message) {
        return message instanceof ByteBuf bytes
                && !bytes.isDirect()
                && bytes.readableBytes() > SLICE_BYTES;
    }

    private void writeNext(ChannelHandlerContext context) {
        while (!mWrites.isEmpty()) {
            Write write = mWrites.peek();
            if (isLong(write.message())) {
                ByteBuf slice = ((ByteBuf) write.message()).readRetainedSlice(SLICE_BYTES);
                context.writeAndFlush(slice)
                        .addListener((ChannelFuture sent) -> onSent(context, sent));
                return;
            }
            mWrites.remove();
            context.writeAndFlush(write.message(), write.promise());
        }
    }

    private void onSent(ChannelHandlerContext context, ChannelFuture sent) {
        if (sent.isSuccess()) {
            writeNext(context);
        } else {
            failAll(sent.cause());
        }
    }

    /** Fails the writes: bytes after a gap would be taken for those that are missing. */
    private void failAll(Throwable cause) {
        for (Write write = mWrites.poll(); write != null; write = mWrites.poll()) {
            ReferenceCountUtil.release(write.message());
            write.promise().tryFailure(cause);
        }
    }
}
