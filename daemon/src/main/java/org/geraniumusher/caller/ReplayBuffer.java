package org.geraniumusher.caller;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the parts of a request body that were sent, so that an attempt that did not run can be
 * repeated. A body of more than {@link #MAX_BYTES} is not kept: it is streamed only once. Confined
 * to one event loop.
 */
final class ReplayBuffer {
    /** Bounds the memory of one request; orders and reservations are far smaller. */
    static final int MAX_BYTES = 64 << 10;

    private final List<HttpContent> mParts = new ArrayList<>();
    private int mBytes;
    private boolean mOverflow;
    private boolean mComplete;

    /** Adds a part; the buffer takes its own reference. */
    void add(HttpContent part) {
        mComplete = part instanceof LastHttpContent;
        mBytes += part.content().readableBytes();
        if (mBytes > MAX_BYTES) {
            mOverflow = true;
            release();
        }
        if (!mOverflow) {
            mParts.add(part.retainedDuplicate());
        }
    }

    /** Reports whether all parts so far can be sent again. */
    boolean canReplay() {
        return !mOverflow;
    }

    /** Reports whether the last part of the body has been received. */
    boolean isComplete() {
        return mComplete;
    }

    /** Returns copies of the parts, each with a reference of its own. */
    List<HttpContent> copies() {
        List<HttpContent> copies = new ArrayList<>(mParts.size());
        mParts.forEach(part -> copies.add(part.retainedDuplicate()));
        return copies;
    }

    /** Releases all parts. */
    void release() {
        mParts.forEach(HttpContent::release);
        mParts.clear();
    }
}
