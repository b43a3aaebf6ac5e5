package org.geraniumusher.peer;

import com.google.protobuf.InvalidProtocolBufferException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.ReadTimeoutHandler;

import org.geraniumusher.membership.FailureDetector;
import org.geraniumusher.peer.wire.PeerProto.Envelope;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decodes datagrams and frames and gives them to the handler. What is malformed or too large is
 * counted and dropped; a connection that carried it is closed. Thread-safe.
 */
final class Receiver {
    /** Largest frame: the snapshot of a configuration that fills the store's largest lists. */
    static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int MAX_CONNECTIONS = 1_024;
    private static final int IDLE_SECONDS = 30;
    private static final int LENGTH_BYTES = 4;

    private final PeerMetrics mMetrics;
    private final AtomicInteger mConnections = new AtomicInteger();
    private volatile PeerHandler mHandler;

    Receiver(PeerMetrics metrics) {
        mMetrics = metrics;
    }

    /** Starts delivery; what arrived before is dropped. */
    void start(PeerHandler handler) {
        mHandler = handler;
    }

    ChannelInboundHandler datagramHandler() {
        return new DatagramHandler();
    }

    ChannelInitializer<SocketChannel> connectionInitializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                if (mConnections.incrementAndGet() > MAX_CONNECTIONS) {
                    mMetrics.onDropped();
                    channel.close();
                }
                channel.closeFuture().addListener(closed -> mConnections.decrementAndGet());
                channel.pipeline()
                        .addLast(new ReadTimeoutHandler(IDLE_SECONDS))
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new FrameHandler());
            }
        };
    }

    /** Delivers a message; reports whether it was well-formed. */
    private boolean receive(ByteBuf content) {
        mMetrics.onReceived(content.readableBytes());
        PeerCodec.Delivery delivery;
        try {
            delivery = PeerCodec.decode(Envelope.parseFrom(ByteBufUtil.getBytes(content)));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            mMetrics.onMalformed();
            return false;
        }
        PeerHandler handler = mHandler;
        if (handler == null) {
            mMetrics.onDropped();
        } else {
            delivery.deliver(handler);
        }
        return true;
    }

    /** Takes datagrams. */
    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (packet.content().readableBytes() > FailureDetector.MAX_DATAGRAM_BYTES) {
                mMetrics.onOversized();
            } else {
                receive(packet.content());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The socket serves all daemons, so it stays open whatever one message did.
            mMetrics.onMalformed();
        }
    }

    /** Takes frames of a connection. */
    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            if (!receive(frame)) {
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                mMetrics.onOversized();
            } else if (cause instanceof DecoderException) {
                mMetrics.onMalformed();
            }
            context.close();
        }
    }
}
