package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a connection that carries one request at a time. Confined to the event
 * loop of its channel.
 *
 * <p>Invariant: a response whose head contains the status line of another one has a failed decoder
 * result. The server has then sent the beginning of a response that it did not finish, and the
 * status of the one would be taken for that of the other.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d\\s+\\d{3}(\\s|$)");

    private boolean mIsForHead;

    /** Prepares for the response to a request, which is about to be sent. */
    public void onRequest(HttpMethod method) {
        mIsForHead = checkNotNull(method).equals(HttpMethod.HEAD);
    }

    /**
     * Returns whether bytes were received that belong to no message yet. At the end of a response,
     * these are additional bytes, which must not become the beginning of the next one.
     */
    public boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mIsForHead || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        int decoded = out.size();
        super.decode(context, in, out);
        for (Object message : out.subList(decoded, out.size())) {
            if (message instanceof HttpResponse head
                    && head.decoderResult().isSuccess()
                    && containsStatusLine(head)) {
                head.setDecoderResult(
                        DecoderResult.failure(
                                new IllegalArgumentException("two responses in one head")));
            }
        }
    }

    private static boolean containsStatusLine(HttpResponse head) {
        if (isStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : head.headers()) {
            if (isStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean isStatusLine(String text) {
        return text.contains(VERSION_PREFIX) && STATUS_LINE.matcher(text).find();
    }
}
