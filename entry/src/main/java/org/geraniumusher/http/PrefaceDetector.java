package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;

import java.util.List;
import java.util.Map;

/**
 * Replaces the handlers of a connection that begins with a preface, which no HTTP request does, and
 * leaves others as they are. Confined to the event loop of its connection.
 */
final class PrefaceDetector extends ByteToMessageDecoder {
    private final byte[] mPreface;
    private final OtherProtocol mProtocol;

    /** Creates a detector, which must be the first handler. */
    PrefaceDetector(OtherProtocol protocol) {
        mProtocol = checkNotNull(protocol);
        mPreface = protocol.preface();
        checkArgument(mPreface.length > 0, "preface is empty");
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        int length = Math.min(in.readableBytes(), mPreface.length);
        for (int i = 0; i < length; i++) {
            if (in.getByte(in.readerIndex() + i) != mPreface[i]) {
                context.pipeline().remove(this);
                return;
            }
        }
        if (length == mPreface.length) {
            in.skipBytes(length);
            removeOtherHandlers(context);
            mProtocol.initialize((SocketChannel) context.channel());
            context.pipeline().remove(this);
        }
    }

    private void removeOtherHandlers(ChannelHandlerContext context) {
        for (Map.Entry<String, ChannelHandler> handler : context.pipeline().toMap().entrySet()) {
            if (handler.getValue() != this) {
                context.pipeline().remove(handler.getKey());
            }
        }
    }
}
