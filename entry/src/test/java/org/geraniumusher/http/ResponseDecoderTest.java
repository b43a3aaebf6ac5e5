package org.geraniumusher.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.nio.charset.StandardCharsets;

/** Guards against bytes of one response that become a part of another. */
final class ResponseDecoderTest {
    private static final String RESPONSE =
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno";

    private final ResponseDecoder mDecoder = new ResponseDecoder();
    private final EmbeddedChannel mChannel = new EmbeddedChannel(mDecoder);

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
    }

    private void receive(String bytes) {
        mChannel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nServer-St",
                "HTTP/1.1 200 OK\r\nServer-Stamp: ",
                "HTTP/1.1 200 OK\r\nServer-Stamp: s-1",
                "HTTP/1.1 200 OK\r\nServer-Stamp: s-1\r\n"
            })
    void decode_responseFollowsBeginningOfAnother_fails(String beginning) {
        receive(beginning);
        receive(RESPONSE);

        HttpObject head = mChannel.readInbound();
        assertThat(head.decoderResult().isFailure()).isTrue();
    }

    @Test
    void decode_fieldNamesVersionOfProxy_succeeds() {
        receive("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n");

        HttpResponse head = mChannel.readInbound();
        assertThat(head.decoderResult().isSuccess()).isTrue();
    }

    @Test
    void decode_responseToHead_hasNoBody() {
        mDecoder.onRequest(HttpMethod.HEAD);
        receive("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");

        HttpObject head = mChannel.readInbound();
        HttpObject end = mChannel.readInbound();
        assertThat(head).isInstanceOf(HttpResponse.class);
        assertThat(end).isInstanceOf(LastHttpContent.class);
    }
}
