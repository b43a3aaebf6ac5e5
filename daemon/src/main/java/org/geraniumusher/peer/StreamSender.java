package org.geraniumusher.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;

import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends large messages over one connection to each daemon, which is opened at need and closed when
 * idle. The frames that wait to be written are bounded in bytes. Thread-safe; never blocks.
 */
final class StreamSender {
    /** Bytes that may wait for slow receivers; a quarter of the memory budget of control. */
    static final long MAX_PENDING_BYTES = 16 << 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int IDLE_SECONDS = 10;
    private static final int LENGTH_BYTES = 4;

    private final EventLoopGroup mGroup;
    private final PeerMetrics mMetrics;
    private final ConcurrentHashMap<InetSocketAddress, ChannelFuture> mConnections =
            new ConcurrentHashMap<>();
    private final AtomicLong mPendingBytes = new AtomicLong();
    private volatile boolean mClosed;

    StreamSender(EventLoopGroup group, PeerMetrics metrics) {
        mGroup = group;
        mMetrics = metrics;
    }

    /** Sends a frame, or counts why it cannot. */
    void send(InetSocketAddress to, byte[] frame) {
        if (mClosed || mPendingBytes.addAndGet(frame.length) > MAX_PENDING_BYTES) {
            mPendingBytes.addAndGet(-frame.length);
            mMetrics.onDropped();
            return;
        }
        try {
            mConnections
                    .computeIfAbsent(to, this::connect)
                    .addListener((ChannelFuture opened) -> writeWhenOpen(to, opened, frame));
        } catch (RejectedExecutionException e) {
            // The event loops end before this daemon's last messages.
            finish(frame, false);
        }
    }

    /** Reports whether no frame waits to be written. */
    boolean isFlushed() {
        return mPendingBytes.get() == 0;
    }

    /** Closes all connections; later messages are dropped. */
    void close() {
        mClosed = true;
        mConnections.values().forEach(connection -> connection.channel().close());
    }

    private void writeWhenOpen(InetSocketAddress to, ChannelFuture opened, byte[] frame) {
        if (opened.isSuccess()) {
            write(opened, frame);
        } else {
            mConnections.remove(to, opened);
            finish(frame, false);
        }
    }

    private void write(ChannelFuture connection, byte[] frame) {
        ByteBuf bytes = Unpooled.wrappedBuffer(frame);
        connection
                .channel()
                .writeAndFlush(bytes)
                .addListener(written -> finish(frame, written.isSuccess()));
    }

    private void finish(byte[] frame, boolean sent) {
        mPendingBytes.addAndGet(-frame.length);
        if (sent) {
            mMetrics.onSent(frame.length + LENGTH_BYTES);
        } else {
            mMetrics.onSendFailed();
        }
    }

    private ChannelFuture connect(InetSocketAddress to) {
        ChannelInitializer<SocketChannel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
                                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                                .addLast(new CloseHandler());
                    }
                };
        ChannelFuture connection =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(initializer)
                        .connect(to);
        // Run later, because the map must not be changed while the connection is put into it.
        connection.channel().eventLoop().execute(() -> removeWhenClosed(to, connection));
        return connection;
    }

    private void removeWhenClosed(InetSocketAddress to, ChannelFuture connection) {
        connection
                .channel()
                .closeFuture()
                .addListener(closed -> mConnections.remove(to, connection));
    }

    /** Closes the connection when it is idle or fails; nothing is received on it. */
    private static final class CloseHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ((ByteBuf) message).release();
            context.close();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) {
            if (event instanceof IdleStateEvent) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
