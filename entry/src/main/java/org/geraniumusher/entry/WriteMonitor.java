package org.geraniumusher.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;

/**
 * Tells whether the operating system has accepted any byte of a request. Must be the first handler
 * of a pipeline. Confined to the event loop of its channel.
 *
 * <p>Invariant: a request of which no byte was accepted before its channel closed never leaves this
 * process.
 */
final class WriteMonitor extends ChannelOutboundHandlerAdapter {
    private boolean mBytesWritten;

    /** Starts anew, for a request that is about to be sent. */
    void onRequest() {
        mBytesWritten = false;
    }

    /** Returns whether a byte of the request was written to the socket. */
    boolean hasWritten() {
        return mBytesWritten;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        ChannelProgressivePromise progress = context.newProgressivePromise();
        progress.addListener(
                new ChannelProgressiveFutureListener() {
                    @Override
                    public void operationProgressed(
                            ChannelProgressiveFuture future, long progress, long total) {
                        mBytesWritten |= progress > 0;
                    }

                    @Override
                    public void operationComplete(ChannelProgressiveFuture future) {
                        if (future.isSuccess()) {
                            promise.trySuccess();
                        } else {
                            promise.tryFailure(future.cause());
                        }
                    }
                });
        context.write(message, progress);
    }
}
