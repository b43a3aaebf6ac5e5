package org.geraniumusher.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;

import java.util.concurrent.TimeUnit;

/**
 * Closes a connection of a server after its last response in two steps: ends the output, then
 * discards input until the client closes. If unread input were left at the close, or arrived after
 * it, the kernel would reset the connection and drop the part of the response that the client has
 * not received. Stateless; to be used on the event loop of the channel.
 */
public final class LingeringClose {
    /** Longest time from the end of the output until the connection is closed by this side. */
    private static final long LINGER_MILLIS = 1_000;

    private LingeringClose() {}

    /** Closes a channel whose last response has been written. */
    public static void closeAfterResponse(Channel channel) {
        if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
            channel.close();
            return;
        }
        channel.pipeline().addFirst(new DiscardInput());
        duplex.shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Releases all input. */
    private static final class DiscardInput extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }
}
