package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Pauses a listening socket after a failed accept, as when no file descriptor is free, and reports
 * the failure. Netty itself pauses for a second without a word, for which callers that have
 * connected get no answer. Confined to the event loop of its channel.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    /** Long enough that retries cost little processor time. */
    static final long PAUSE_MILLIS = 20;

    private final Consumer<Throwable> mOnFailure;

    AcceptFailureHandler(Consumer<Throwable> onFailure) {
        mOnFailure = checkNotNull(onFailure);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mOnFailure.accept(cause);
        ChannelConfig config = context.channel().config();
        if (config.isAutoRead()) {
            config.setAutoRead(false);
            context.executor()
                    .schedule(
                            () -> {
                                config.setAutoRead(true);
                            },
                            PAUSE_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }
}
