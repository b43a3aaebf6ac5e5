package org.geraniumusher.experiments;

import static com.google.common.base.Preconditions.checkState;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;

import org.HdrHistogram.Histogram;
import org.geraniumusher.model.Address;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends requests in a closed loop: each connection sends the next request when the last one is
 * answered. One instance serves one run. The histogram is written by event loops under its lock.
 */
final class LoadClient {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final long MAX_LATENCY_NANOS = 10_000_000_000L;

    private final Address mTarget;
    private final String mUri;
    private final Histogram mLatency = new Histogram(MAX_LATENCY_NANOS, 3);
    private final AtomicLong mFailures = new AtomicLong();
    private final CountDownLatch mClosed;
    private volatile long mEndNanos = Long.MAX_VALUE;

    private LoadClient(Address target, String uri, int connections) {
        mTarget = target;
        mUri = uri;
        mClosed = new CountDownLatch(connections);
    }

    /** Holds the latency of the answered requests, the rest and the duration. */
    record Result(Histogram latency, long failures, long nanos) {
        double requestsPerSecond() {
            return latency.getTotalCount() * 1e9 / nanos;
        }
    }

    static Result run(EventLoopGroup group, Address target, String uri, int connections, long nanos)
            throws InterruptedException {
        LoadClient client = new LoadClient(target, uri, connections);
        long start = System.nanoTime();
        client.mEndNanos = start + nanos;
        for (int i = 0; i < connections; i++) {
            client.open(group);
        }
        client.mClosed.await();
        long took = System.nanoTime() - start;
        return new Result(client.mLatency, client.mFailures.get(), took);
    }

    private void open(EventLoopGroup group) {
        ChannelInitializer<SocketChannel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new Loop());
                    }
                };
        boolean opened =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .handler(initializer)
                        .connect(mTarget.host(), mTarget.port())
                        .awaitUninterruptibly()
                        .isSuccess();
        checkState(opened, "no connection to %s", mTarget);
    }

    /** Sends one request after the other on a connection. */
    private final class Loop extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long mSentNanos;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            send(context);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            long now = System.nanoTime();
            if (response.status().code() == 200) {
                record(now - mSentNanos);
            } else {
                mFailures.incrementAndGet();
            }
            if (now - mEndNanos < 0) {
                send(context);
            } else {
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (System.nanoTime() - mEndNanos < 0) {
                mFailures.incrementAndGet();
            }
            mClosed.countDown();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            mFailures.incrementAndGet();
            context.close();
        }

        private void send(ChannelHandlerContext context) {
            mSentNanos = System.nanoTime();
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, mUri);
            request.headers().set(HttpHeaderNames.HOST, "load");
            context.writeAndFlush(request);
        }

        private void record(long nanos) {
            synchronized (mLatency) {
                mLatency.recordValue(Math.min(nanos, MAX_LATENCY_NANOS));
            }
        }
    }
}
