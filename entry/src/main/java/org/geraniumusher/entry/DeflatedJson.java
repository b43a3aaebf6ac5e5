package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.operator.Json;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Deflates bodies that go to many daemons: tables and changes of entries repeat the same names
 * again and again, links of daemons are narrow, and bytes between data centres are priced.
 */
final class DeflatedJson {
    private static final String ENCODING = "content-encoding";
    private static final String DEFLATE = "deflate";

    /** Below this size the deflated body is hardly smaller. */
    private static final int MIN_BYTES = 300;

    /** A body that inflates to more than this is not from a daemon. */
    private static final int MAX_BYTES = 16 << 20;

    private DeflatedJson() {}

    /** Returns the call with a deflated body, or unchanged when its body is small. */
    static HttpCall encode(HttpCall call) {
        return call.body().length < MIN_BYTES
                ? call
                : new HttpCall(call.method(), call.uri(), call.headers(), deflate(call.body()))
                        .withHeader(ENCODING, DEFLATE);
    }

    /** Returns the reply with a deflated body, or unchanged when its body is small. */
    static HttpReply encode(HttpReply reply) {
        return reply.body().length < MIN_BYTES
                ? reply
                : new HttpReply(reply.status(), reply.headers(), deflate(reply.body()))
                        .withHeader(ENCODING, DEFLATE);
    }

    /** Reads the body; throws {@link IllegalArgumentException} when it cannot be read. */
    static JsonNode decode(HttpCall call) {
        return decode(call.headers(), call.body());
    }

    /** Reads the body; throws {@link IllegalArgumentException} when it cannot be read. */
    static JsonNode decode(HttpReply reply) {
        return decode(reply.headers(), reply.body());
    }

    private static JsonNode decode(Map<String, String> headers, byte[] body) {
        byte[] plain = DEFLATE.equals(headers.get(ENCODING)) ? inflate(body) : body;
        return Json.readTree(new String(plain, StandardCharsets.UTF_8));
    }

    private static byte[] deflate(byte[] body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            deflater.write(body);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to memory", e);
        }
        return bytes.toByteArray();
    }

    private static byte[] inflate(byte[] body) {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(body))) {
            return in.readNBytes(MAX_BYTES);
        } catch (IOException e) {
            throw new IllegalArgumentException("body cannot be inflated: " + e.getMessage(), e);
        }
    }
}
