package org.geraniumusher.caller;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.IdleStateHandler;

import org.geraniumusher.http.StrictRequestDecoder;
import org.geraniumusher.http.TcpListener;
import org.geraniumusher.model.Address;

import java.util.concurrent.TimeUnit;

/** Listens for callers, or for daemons that forward requests. Thread-safe. */
public final class CallerServer implements AutoCloseable {
    private final TcpListener mListener;

    private CallerServer(TcpListener listener) {
        mListener = listener;
    }

    /** Binds a host and a port, where 0 means any free port; throws when it cannot. */
    public static CallerServer bind(
            EventLoopGroup group, String host, int port, CallerContext context) {
        checkNotNull(context);
        return new CallerServer(
                TcpListener.bind(
                        group, host, port, false, channel -> buildPipeline(channel, context)));
    }

    /** Returns the bound address. */
    public Address address() {
        return mListener.address();
    }

    /** Closes the listening socket and all connections. */
    @Override
    public void close() {
        mListener.close();
    }

    private static void buildPipeline(SocketChannel channel, CallerContext context) {
        CallerContext.Limits limits = context.limits();
        ResponseEncoder encoder = new ResponseEncoder();
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(
                                0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS))
                .addLast(
                        new StrictRequestDecoder(
                                limits.maxInitialLineBytes(), limits.maxHeaderBytes()))
                .addLast(encoder)
                .addLast(new FlowControlHandler())
                .addLast(new CallerConnection(context, encoder));
    }
}
