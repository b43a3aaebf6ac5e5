package org.geraniumusher.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.flow.FlowControlHandler;

import org.geraniumusher.model.Address;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the connections of one event loop, by address. Confined to that event loop.
 *
 * <p>The number of connections to a server is bounded by the requests that run there at once, which
 * the gateway limits to the slots of the server.
 */
public final class UpstreamPool {
    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop mLoop;
    private final int mConnectTimeoutMillis;
    private final Map<Address, Deque<UpstreamConnection>> mIdle = new HashMap<>();
    private final Map<UpstreamConnection, Address> mAddresses = new HashMap<>();

    /** Creates the pool of an event loop. */
    public UpstreamPool(EventLoop loop, int connectTimeoutMillis) {
        mLoop = checkNotNull(loop);
        mConnectTimeoutMillis = connectTimeoutMillis;
    }

    /** Gives {@code listener} an idle connection, or opens one. */
    public void acquire(Address address, UpstreamListener listener) {
        Deque<UpstreamConnection> idle = mIdle.get(address);
        while (idle != null && !idle.isEmpty()) {
            UpstreamConnection connection = idle.pollLast();
            if (connection.isActive()) {
                connection.use(listener);
                return;
            }
        }
        open(address, listener);
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        for (Deque<UpstreamConnection> idle : mIdle.values()) {
            while (!idle.isEmpty()) {
                idle.poll().close();
            }
        }
    }

    void release(UpstreamConnection connection) {
        Deque<UpstreamConnection> idle =
                mIdle.computeIfAbsent(mAddresses.get(connection), a -> new ArrayDeque<>());
        if (idle.size() >= MAX_IDLE_PER_ADDRESS) {
            connection.close();
        } else {
            idle.addLast(connection);
        }
    }

    void remove(UpstreamConnection connection) {
        Address address = mAddresses.remove(connection);
        Deque<UpstreamConnection> idle = address == null ? null : mIdle.get(address);
        if (idle != null) {
            idle.remove(connection);
            if (idle.isEmpty()) {
                mIdle.remove(address);
            }
        }
    }

    private void open(Address address, UpstreamListener listener) {
        UpstreamConnection connection = new UpstreamConnection(this);
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConnectTimeoutMillis)
                        .handler(new Initializer(connection))
                        .connect(address.host(), address.port());
        connecting.addListener(
                (ChannelFuture opened) -> {
                    if (opened.isSuccess()) {
                        mAddresses.put(connection, address);
                        connection.use(listener);
                    } else {
                        listener.onConnectFailed(opened.cause());
                    }
                });
    }

    /** Builds the pipeline of a connection. */
    private static final class Initializer extends ChannelInitializer<SocketChannel> {
        private final UpstreamConnection mConnection;

        Initializer(UpstreamConnection connection) {
            mConnection = connection;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new FlowControlHandler())
                    .addLast(mConnection);
        }
    }
}
