package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.JsonNode;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.operator.Json;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Deflates the bodies of calls that go to every daemon: tables name the same servers again and
 * again, and bytes between data centres are priced.
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
        if (call.body().length < MIN_BYTES) {
            return call;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
            deflater.write(call.body());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to memory", e);
        }
        return new HttpCall(call.method(), call.uri(), call.headers(), bytes.toByteArray())
                .withHeader(ENCODING, DEFLATE);
    }

    /** Reads the body; throws {@link IllegalArgumentException} when it cannot be read. */
    static JsonNode decode(HttpCall call) {
        if (!call.header(ENCODING).equals(Optional.of(DEFLATE))) {
            return Json.readTree(call.text());
        }
        try (InflaterInputStream in =
                new InflaterInputStream(new ByteArrayInputStream(call.body()))) {
            byte[] body = in.readNBytes(MAX_BYTES);
            return Json.readTree(new String(body, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalArgumentException("body cannot be inflated: " + e.getMessage(), e);
        }
    }
}
