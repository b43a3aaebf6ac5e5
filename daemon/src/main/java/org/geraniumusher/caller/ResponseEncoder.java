package org.geraniumusher.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses; the response to HEAD has no body. Confined to one connection. */
final class ResponseEncoder extends HttpResponseEncoder {
    private boolean mIsHead;

    /** Says whether the request that is answered next is a HEAD request. */
    void expect(boolean isHead) {
        mIsHead = isHead;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return mIsHead || super.isContentAlwaysEmpty(response);
    }
}
