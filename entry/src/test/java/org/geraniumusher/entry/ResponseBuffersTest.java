package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;

import org.geraniumusher.entry.ResponseBuffers.Buffer;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Guards the bound of the memory of all responses and the choice of the one that is given up. */
final class ResponseBuffersTest {
    private static final int MIB = 1 << 20;

    private final ResponseBuffers mBuffers = new ResponseBuffers();
    private final List<String> mEvicted = new ArrayList<>();

    private Buffer open(String name) {
        return mBuffers.open(() -> mEvicted.add(name));
    }

    private static void append(Buffer buffer, int bytes) {
        buffer.append(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    @Test
    void append_parts_bodyHasThemInOrder() {
        Buffer buffer = open("a");

        buffer.append(Unpooled.wrappedBuffer(new byte[] {1, 2}));
        append(buffer, 1_000);
        buffer.append(Unpooled.wrappedBuffer(new byte[] {3}));

        byte[] body = buffer.toByteArray();
        assertThat(body).hasLength(1_003);
        assertThat(body[1]).isEqualTo(2);
        assertThat(body[1_002]).isEqualTo(3);
    }

    /** A short response must not fail because others are long. */
    @Test
    void append_overTotal_largestIsEvicted() {
        Buffer large = open("large");
        Buffer small = open("small");
        append(large, 9 * MIB);
        append(small, 4 * MIB);

        append(small, 2 * MIB);

        assertThat(mEvicted).containsExactly("large");
        assertThat(small.toByteArray()).hasLength(6 * MIB);
        assertThat(large.toByteArray()).isEmpty();
        assertThat(mBuffers.totalBytes()).isAtMost(ResponseBuffers.MAX_TOTAL_BYTES);
    }

    @Test
    void append_bufferItselfIsLargest_isEvictedAndStaysEmpty() {
        Buffer buffer = open("a");

        append(buffer, 17 * MIB);
        append(buffer, 1);

        assertThat(mEvicted).containsExactly("a");
        assertThat(buffer.toByteArray()).isEmpty();
        assertThat(mBuffers.totalBytes()).isEqualTo(0);
    }

    @Test
    void close_twice_releasesMemoryOnce() {
        Buffer first = open("first");
        Buffer second = open("second");
        append(first, MIB);
        append(second, MIB);

        first.close();
        first.close();

        assertThat(mBuffers.totalBytes()).isEqualTo(MIB);
    }
}
