package org.geraniumusher.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;

import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/** Guards against a long body that is copied to direct memory in one piece, and against mixups. */
final class LongBodyWriterTest {
    private static final int SLICE_BYTES = 64 << 10;

    private final HeldWrites mWrites = new HeldWrites();
    private final EmbeddedChannel mChannel = new EmbeddedChannel(mWrites, new LongBodyWriter());

    /** Holds writes, as a channel whose peer doesn't read. */
    private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
        private final ByteArrayOutputStream mSent = new ByteArrayOutputStream();
        private final Queue<ByteBuf> mBytes = new ArrayDeque<>();
        private final Queue<ChannelPromise> mPromises = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mBytes.add((ByteBuf) message);
            mPromises.add(promise);
        }

        /** Returns the sizes of the writes that are not complete. */
        List<Integer> sizes() {
            return mBytes.stream().map(ByteBuf::readableBytes).toList();
        }

        void completeNext() throws IOException {
            ByteBuf bytes = mBytes.remove();
            bytes.readBytes(mSent, bytes.readableBytes());
            bytes.release();
            mPromises.remove().setSuccess();
        }

        void failNext() {
            mBytes.remove().release();
            mPromises.remove().setFailure(new IOException("reset"));
        }
    }

    private static byte[] pattern(int length) {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) (i * 31 + i / 251);
        }
        return bytes;
    }

    /** The slices must be sent one at a time and give the body, before what was written later. */
    @Test
    void write_longBody_isSentInSlicesBeforeLaterWrites() throws IOException {
        byte[] bytes = pattern(5 * SLICE_BYTES + 7);
        ByteBuf body = Unpooled.wrappedBuffer(bytes);
        ChannelFuture sent = mChannel.writeAndFlush(body);
        ChannelFuture later = mChannel.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {42}));

        for (int i = 0; i < 5; i++) {
            assertThat(mWrites.sizes()).containsExactly(SLICE_BYTES);
            mWrites.completeNext();
            mChannel.runPendingTasks();
        }
        assertThat(mWrites.sizes()).containsExactly(7, 1).inOrder();
        assertThat(sent.isDone()).isFalse();
        mWrites.completeNext();

        assertThat(sent.isSuccess()).isTrue();
        assertThat(body.refCnt()).isEqualTo(0);
        assertThat(mWrites.mSent.toByteArray()).isEqualTo(bytes);
        assertThat(later.isDone()).isFalse();
        mWrites.completeNext();
        assertThat(later.isSuccess()).isTrue();
    }

    /** After a write that failed nothing may follow, and the memory must be free. */
    @Test
    void write_sliceFails_allFailAndMemoryIsFree() throws IOException {
        ByteBuf body = Unpooled.wrappedBuffer(pattern(3 * SLICE_BYTES));
        ByteBuf next = Unpooled.wrappedBuffer(new byte[] {42});
        ChannelFuture sent = mChannel.writeAndFlush(body);
        ChannelFuture later = mChannel.writeAndFlush(next);
        mWrites.completeNext();

        mWrites.failNext();

        assertThat(sent.cause()).isInstanceOf(IOException.class);
        assertThat(later.cause()).isInstanceOf(IOException.class);
        assertThat(body.refCnt()).isEqualTo(0);
        assertThat(next.refCnt()).isEqualTo(0);
        assertThat(mWrites.sizes()).isEmpty();
    }
}
