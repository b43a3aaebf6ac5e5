package org.geraniumusher.http;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

import org.geraniumusher.traffic.BodyBudget;

/**
 * The complete body of a request on the heap. Confined to the event loop.
 *
 * <p>Invariant: its memory stays reserved until the last reference is released, also that of a
 * request that is still being forwarded.
 */
final class BudgetedBody extends UnpooledHeapByteBuf {
    private final BodyBudget mBudget;
    private final int mReservedBytes;

    /** Creates a body of {@code bytes}, whose memory the caller has reserved. */
    BudgetedBody(byte[] bytes, BodyBudget budget) {
        super(UnpooledByteBufAllocator.DEFAULT, bytes, bytes.length);
        mBudget = budget;
        mReservedBytes = bytes.length;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        mBudget.release(mReservedBytes);
    }
}
