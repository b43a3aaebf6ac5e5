package org.geraniumusher.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;

import java.util.concurrent.TimeUnit;

/**
 * Closes a connection of a server after its last response in two steps: ends the output, then
 * discards input until the client closes or goes silent. If unread input were left at the close, or
 * arrived after it, the kernel would reset the connection and drop the part of the response that
 * the client has not received. Stateless; to be used on the event loop of the channel.
 */
public final class LingeringClose {
    /** Time without input after which the connection is closed by this side. */
    private static final long SILENCE_MILLIS = 1_000;

    /** Limit of the time from the end of the output for a client that goes on sending. */
    private static final long MAX_LINGER_MILLIS = 30_000;

    private LingeringClose() {}

    /** Closes a channel whose last response has been written. */
    public static void closeAfterResponse(Channel channel) {
        if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
            channel.close();
            return;
        }
        InputDiscarder discarder = new InputDiscarder();
        channel.pipeline().addFirst(discarder);
        duplex.shutdownOutput();
        closeWhenSilent(channel, discarder, MAX_LINGER_MILLIS);
    }

    private static void closeWhenSilent(
            Channel channel, InputDiscarder discarder, long remainingMillis) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            long remaining = remainingMillis - SILENCE_MILLIS;
                            if (remaining > 0 && channel.isActive() && discarder.takeReceived()) {
                                closeWhenSilent(channel, discarder, remaining);
                            } else {
                                channel.close();
                            }
                        },
                        SILENCE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Releases all input and remembers that there was some. Confined to the event loop. */
    private static final class InputDiscarder extends ChannelInboundHandlerAdapter {
        private boolean mReceived;

        /** Returns whether there was input since the last call. */
        boolean takeReceived() {
            boolean received = mReceived;
            mReceived = false;
            return received;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mReceived = true;
            ReferenceCountUtil.release(message);
        }
    }
}
