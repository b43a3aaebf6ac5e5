package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;

import io.netty.handler.codec.http.HttpHeaderNames;

import org.geraniumusher.quarantine.RequestFingerprint;
import org.geraniumusher.traffic.RouterConfig;

import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What identifies a request that its caller repeats under new request IDs. Confined to the event
 * loop.
 *
 * <p>The target is cheap and tells most requests apart. The fingerprint, which hashes the body, is
 * computed only when it is asked for.
 */
final class RequestIdentity {
    private static final int MAX_TARGET_CHARS = 200;

    /** The headers by which a server knows its caller. */
    private static final ImmutableList<CharSequence> CALLER_HEADERS =
            ImmutableList.of(HttpHeaderNames.COOKIE, HttpHeaderNames.AUTHORIZATION);

    private final Exchange.Request mRequest;
    private final String mKeyHeader;
    private final String mTarget;
    private RequestFingerprint mFingerprint;

    RequestIdentity(Exchange.Request request, String keyHeader) {
        mRequest = request;
        mKeyHeader = keyHeader;
        String uri = request.uri();
        int query = uri.indexOf('?');
        String target =
                request.method() + " " + host() + (query < 0 ? uri : uri.substring(0, query));
        mTarget = target.substring(0, Math.min(target.length(), MAX_TARGET_CHARS));
    }

    /**
     * Returns the host as routes match it; its port differs where daemons are addressed directly.
     */
    private String host() {
        return RouterConfig.hostName(mRequest.headers().get(HttpHeaderNames.HOST, ""));
    }

    /** Returns method, host and path, shortened. */
    String target() {
        return mTarget;
    }

    /** Returns a key for sets of targets, which are the same only within a service. */
    static String targetKey(String service, String target) {
        return service + " " + target;
    }

    /** Returns the fingerprint, which is computed at the first call. */
    RequestFingerprint fingerprint() {
        if (mFingerprint == null) {
            ImmutableList.Builder<byte[]> parts = ImmutableList.builder();
            parts.add(utf8(mRequest.method().name()));
            parts.add(utf8(host()));
            parts.add(utf8(mRequest.uri()));
            addHeader(parts, mKeyHeader);
            CALLER_HEADERS.forEach(name -> addHeader(parts, name));
            parts.add(mRequest.body());
            mFingerprint = RequestFingerprint.ofParts(parts.build());
        }
        return mFingerprint;
    }

    /** Adds the number of values of a header, then each value. */
    private void addHeader(ImmutableList.Builder<byte[]> parts, CharSequence name) {
        List<String> values = mRequest.headers().getAll(name);
        parts.add(utf8(String.valueOf(values.size())));
        values.forEach(value -> parts.add(utf8(value)));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the fingerprint if it has been computed, otherwise an empty string. */
    String knownFingerprint() {
        return mFingerprint == null ? "" : mFingerprint.hex();
    }
}
