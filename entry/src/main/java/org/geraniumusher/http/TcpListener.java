package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.geraniumusher.model.Address;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * A listening socket and the connections accepted on it. Thread-safe.
 *
 * <p>Invariant: after {@link #close}, no accepted connection is open.
 */
public final class TcpListener implements AutoCloseable {
    /** Maximum length of the queue of connections that wait to be accepted. */
    private static final int BACKLOG = 1_024;

    private final Channel mChannel;
    private final ChannelGroup mConnections;

    private TcpListener(Channel channel, ChannelGroup connections) {
        mChannel = channel;
        mConnections = connections;
    }

    /**
     * Binds a host and a port, and waits until bound. Must not be called on an event loop of {@code
     * group}.
     *
     * @param port the port, or 0 for any free port
     * @param autoRead whether connections read automatically, instead of on each {@code read()}
     * @param initializer adds the handlers of an accepted connection, on its event loop
     * @throws IllegalStateException if the address cannot be bound
     */
    public static TcpListener bind(
            EventLoopGroup group,
            String host,
            int port,
            boolean autoRead,
            Consumer<SocketChannel> initializer) {
        return bind(group, host, port, autoRead, initializer, failure -> {});
    }

    /**
     * Binds a host and a port as {@link #bind(EventLoopGroup, String, int, boolean, Consumer)}
     * does.
     *
     * @param onAcceptFailure receives, on the event loop of the listening socket, why a connection
     *     could not be accepted; accepting goes on after a short pause
     */
    public static TcpListener bind(
            EventLoopGroup group,
            String host,
            int port,
            boolean autoRead,
            Consumer<SocketChannel> initializer,
            Consumer<Throwable> onAcceptFailure) {
        checkNotNull(initializer);
        // With stayClosed set, a connection that is accepted during close() is closed when added.
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .handler(new AcceptFailureHandler(onAcceptFailure))
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, autoRead)
                        .childHandler(new TrackingInitializer(connections, initializer));
        ChannelFuture bound = bootstrap.bind(host, port).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalStateException("cannot listen on " + host + ":" + port, bound.cause());
        }
        return new TcpListener(bound.channel(), connections);
    }

    /** Returns the bound address. */
    public Address address() {
        InetSocketAddress local = (InetSocketAddress) mChannel.localAddress();
        return new Address(local.getAddress().getHostAddress(), local.getPort());
    }

    /**
     * Closes the listening socket and all accepted connections, and waits until they are closed.
     * Must not be called on an event loop.
     */
    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
        mConnections.close().awaitUninterruptibly();
    }

    /** Adds an accepted connection to the group and initializes its pipeline. */
    private static final class TrackingInitializer extends ChannelInitializer<SocketChannel> {
        private final ChannelGroup mConnections;
        private final Consumer<SocketChannel> mInitializer;

        TrackingInitializer(ChannelGroup connections, Consumer<SocketChannel> initializer) {
            mConnections = connections;
            mInitializer = initializer;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            mConnections.add(channel);
            mInitializer.accept(channel);
        }
    }
}
