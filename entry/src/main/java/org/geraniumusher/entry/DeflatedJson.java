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
 * Compresses JSON bodies that are sent to many daemons with zlib ("deflate"). Tables and changes of
 * server entries repeat the same names many times, the links of daemons have little bandwidth, and
 * traffic between data centres is charged by the byte. Stateless and thread-safe.
 */
final class DeflatedJson {
    private static final String ENCODING = "content-encoding";
    private static final String DEFLATE = "deflate";

    /** Bodies below this size hardly shrink and are sent unchanged. */
    private static final int MIN_BODY_BYTES = 300;

    /** No daemon sends a larger body; inflating stops at this size. */
    private static final int MAX_INFLATED_BYTES = 16 << 20;

    private DeflatedJson() {}

    /** Returns the call with a deflated body, or unchanged when its body is small. */
    static HttpCall encode(HttpCall call) {
        return call.body().length < MIN_BODY_BYTES
                ? call
                : new HttpCall(call.method(), call.uri(), call.headers(), deflate(call.body()))
                        .withHeader(ENCODING, DEFLATE);
    }

    /** Returns the reply with a deflated body, or unchanged when its body is small. */
    static HttpReply encode(HttpReply reply) {
        return reply.body().length < MIN_BODY_BYTES
                ? reply
                : new HttpReply(reply.status(), reply.headers(), deflate(reply.body()))
                        .withHeader(ENCODING, DEFLATE);
    }

    /** Decodes the body; throws {@link IllegalArgumentException} if it is invalid. */
    static JsonNode decode(HttpCall call) {
        return decode(call.headers(), call.body());
    }

    /** Decodes the body; throws {@link IllegalArgumentException} if it is invalid. */
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
            return in.readNBytes(MAX_INFLATED_BYTES);
        } catch (IOException e) {
            throw new IllegalArgumentException("body cannot be inflated: " + e.getMessage(), e);
        }
    }
}
