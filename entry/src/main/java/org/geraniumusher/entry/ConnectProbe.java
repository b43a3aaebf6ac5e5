package org.geraniumusher.entry;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.geraniumusher.model.Address;

import java.net.ConnectException;
import java.util.function.Consumer;

/** Opens a connection to an address and closes it at once, to find out whether anyone listens. */
interface ConnectProbe {
    int TIMEOUT_MILLIS = 400;

    /** What became of the connection. */
    enum Result {
        ACCEPTED,
        REFUSED,
        /** No answer, or another error. */
        UNKNOWN
    }

    /** Opens a connection; {@code onResult} is called once, later, on the event loop. */
    void open(Address address, Consumer<Result> onResult);

    /** Returns a probe whose connections run on {@code group}. */
    static ConnectProbe create(EventLoopGroup group) {
        return (address, onResult) ->
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(address.host(), address.port())
                        .addListener(
                                (ChannelFuture connected) -> {
                                    connected.channel().close();
                                    connected
                                            .channel()
                                            .eventLoop()
                                            .execute(() -> onResult.accept(resultOf(connected)));
                                });
    }

    private static Result resultOf(ChannelFuture connected) {
        if (connected.isSuccess()) {
            return Result.ACCEPTED;
        }
        String message = String.valueOf(connected.cause().getMessage());
        return connected.cause() instanceof ConnectException && message.contains("refused")
                ? Result.REFUSED
                : Result.UNKNOWN;
    }
}
