package org.geraniumusher.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

import org.junit.jupiter.api.Test;

/** Tests which header fields pass a proxy. */
class HeaderNamesTest {
    @Test
    void removeHopByHop_fieldNamedByConnection_isRemoved() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .add("Connection", "close, X-Hop")
                        .add("X-Hop", "1")
                        .add("TE", "trailers")
                        .add("X-End", "2");

        HeaderNames.removeHopByHop(headers);

        assertThat(headers.names()).containsExactly("X-End");
    }

    /** Guards against a message whose framing is removed by naming the field twice. */
    @Test
    void removeHopByHop_framingNamedTwice_stays() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .add("Connection", "transfer-encoding, transfer-encoding")
                        .add("Connection", "content-length,Content-Length")
                        .add("Transfer-Encoding", "chunked")
                        .add("Content-Length", "3");

        HeaderNames.removeHopByHop(headers);

        assertThat(headers.names()).containsExactly("Transfer-Encoding", "Content-Length");
    }
}
