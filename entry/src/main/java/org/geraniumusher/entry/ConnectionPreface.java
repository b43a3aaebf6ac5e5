package org.geraniumusher.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Sends fixed bytes first on one connection. Confined to its event loop. */
final class ConnectionPreface extends ChannelInboundHandlerAdapter {
    private final byte[] mBytes;

    ConnectionPreface(byte[] bytes) {
        mBytes = bytes;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.write(Unpooled.wrappedBuffer(mBytes), context.voidPromise());
        context.fireChannelActive();
        context.pipeline().remove(this);
    }
}
