package org.geraniumusher.caller;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.geraniumusher.model.Address;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Listens for callers, or for daemons that forward requests. Thread-safe. */
public final class CallerServer implements AutoCloseable {
    private final Channel mChannel;
    private final ChannelGroup mConnections;

    private CallerServer(Channel channel, ChannelGroup connections) {
        mChannel = channel;
        mConnections = connections;
    }

    /** Binds a host and a port, where 0 means any free port; throws when it cannot. */
    public static CallerServer bind(
            EventLoopGroup group, String host, int port, CallerContext context) {
        checkNotNull(context);
        // A connection that is accepted during the close is closed as soon as it is added.
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 1_024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(new Initializer(context, connections));
        return new CallerServer(
                bootstrap.bind(host, port).syncUninterruptibly().channel(), connections);
    }

    /** Returns the bound address. */
    public Address address() {
        InetSocketAddress local = (InetSocketAddress) mChannel.localAddress();
        return new Address(local.getAddress().getHostAddress(), local.getPort());
    }

    /** Closes the listening socket and all connections. */
    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
        mConnections.close().awaitUninterruptibly();
    }

    /** Builds the pipeline of a connection. */
    private static final class Initializer extends ChannelInitializer<SocketChannel> {
        private final CallerContext mContext;
        private final ChannelGroup mConnections;

        Initializer(CallerContext context, ChannelGroup connections) {
            mContext = context;
            mConnections = connections;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            mConnections.add(channel);
            CallerContext.Limits limits = mContext.limits();
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
                    .addLast(new CallerConnection(mContext, encoder));
        }
    }
}
