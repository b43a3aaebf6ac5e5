package org.geraniumusher.entry;

import io.netty.buffer.ByteBuf;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Memory for the bodies of responses that are not complete yet. Confined to the event loop.
 *
 * <p>Invariant: the buffers together never take more than {@link #MAX_TOTAL_BYTES}. When they
 * would, the largest one is evicted, so that a short response never fails because of long ones.
 */
final class ResponseBuffers {
    /** Limit of the memory of all buffers. */
    static final int MAX_TOTAL_BYTES = 16 << 20;

    private static final int INITIAL_BYTES = 512;

    private final Set<Buffer> mBuffers = new HashSet<>();
    private int mTotalBytes;

    /** Returns the memory, in bytes, that all buffers take. */
    int totalBytes() {
        return mTotalBytes;
    }

    /**
     * Returns an empty buffer, which the caller must close.
     *
     * @param onEvicted called when the buffer is evicted, after it has been closed
     */
    Buffer open(Runnable onEvicted) {
        Buffer buffer = new Buffer(onEvicted);
        mBuffers.add(buffer);
        return buffer;
    }

    private void reserve(int bytes) {
        mTotalBytes += bytes;
        while (mTotalBytes > MAX_TOTAL_BYTES) {
            Buffer largest =
                    mBuffers.stream()
                            .max(Comparator.comparingInt(b -> b.mReservedBytes))
                            .orElseThrow();
            largest.close();
            largest.mOnEvicted.run();
        }
    }

    /** Buffer for the body of one response. Once closed, it stays empty. */
    final class Buffer {
        private final Runnable mOnEvicted;
        private byte[] mBytes = new byte[0];
        private int mSize;
        private int mReservedBytes;
        private boolean mClosed;

        private Buffer(Runnable onEvicted) {
            mOnEvicted = onEvicted;
        }

        /** Appends the readable bytes of {@code part}, unless the buffer is or becomes closed. */
        void append(ByteBuf part) {
            int length = part.readableBytes();
            ensureCapacity(mSize + length);
            if (!mClosed) {
                part.readBytes(mBytes, mSize, length);
                mSize += length;
            }
        }

        private void ensureCapacity(int bytes) {
            if (!mClosed && bytes > mReservedBytes) {
                int capacity = Math.max(INITIAL_BYTES, Math.max(bytes, 2 * mReservedBytes));
                int added = capacity - mReservedBytes;
                mReservedBytes = capacity;
                reserve(added);
                if (!mClosed) {
                    mBytes = Arrays.copyOf(mBytes, capacity);
                }
            }
        }

        byte[] toByteArray() {
            return Arrays.copyOf(mBytes, mSize);
        }

        /** Releases the memory. Has no effect if the buffer is closed already. */
        void close() {
            if (!mClosed) {
                mClosed = true;
                mBuffers.remove(this);
                mTotalBytes -= mReservedBytes;
                mReservedBytes = 0;
                mBytes = new byte[0];
                mSize = 0;
            }
        }
    }
}
