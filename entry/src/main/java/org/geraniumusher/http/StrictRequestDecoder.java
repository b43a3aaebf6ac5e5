package org.geraniumusher.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes HTTP requests and rejects those with duplicate Content-Length fields, or with both
 * Content-Length and chunked Transfer-Encoding: a backend server could delimit such a request
 * differently (request smuggling). Not thread-safe; each connection has its own decoder.
 */
public final class StrictRequestDecoder extends HttpRequestDecoder {
    /**
     * Creates a decoder.
     *
     * @param maxInitialLineBytes largest request line, in bytes
     * @param maxHeaderBytes largest total size of the header fields, in bytes
     */
    public StrictRequestDecoder(int maxInitialLineBytes, int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(maxInitialLineBytes)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setValidateHeaders(true)
                        .setAllowDuplicateContentLengths(false));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }
}
