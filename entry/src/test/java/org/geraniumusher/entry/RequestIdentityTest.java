package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import org.junit.jupiter.api.Test;

/** Guards against a request that is not known again, and against two that look the same. */
final class RequestIdentityTest {
    private static final String KEY_HEADER = "key";

    private final HttpHeaders mHeaders =
            new DefaultHttpHeaders()
                    .set("Host", "shop.example:8080")
                    .set("Cookie", "caller=1")
                    .set(KEY_HEADER, "7");
    private String mUri = "/x?q=1";
    private byte[] mBody = {1, 2, 3};

    private RequestIdentity identity() {
        return new RequestIdentity(
                new Exchange.Request(HttpMethod.POST, mUri, mHeaders.copy(), mBody), KEY_HEADER);
    }

    private void assertDiffersFrom(RequestIdentity other) {
        assertThat(identity().fingerprint()).isNotEqualTo(other.fingerprint());
    }

    /** The caller sends each attempt with a new ID and another deadline. */
    @Test
    void fingerprint_otherIdAndDeadline_isTheSame() {
        RequestIdentity first = identity();
        mHeaders.set("Request-Id", "2").set("Deadline-Ms", "700");

        assertThat(identity().fingerprint()).isEqualTo(first.fingerprint());
    }

    /** Daemons at several addresses did not recognise a request that named theirs as its host. */
    @Test
    void fingerprint_otherPort_isTheSame() {
        RequestIdentity first = identity();
        mHeaders.set("Host", "SHOP.example:9090");

        assertThat(identity().fingerprint()).isEqualTo(first.fingerprint());
        assertThat(identity().target()).isEqualTo("POST shop.example/x");
    }

    @Test
    void fingerprint_otherCallerQueryKeyOrBody_differs() {
        RequestIdentity first = identity();

        mHeaders.set("Cookie", "caller=2");
        assertDiffersFrom(first);
        mHeaders.set("Cookie", "caller=1").set("Authorization", "other");
        assertDiffersFrom(first);
        mHeaders.remove("Authorization").set(KEY_HEADER, "8");
        assertDiffersFrom(first);
        mHeaders.set(KEY_HEADER, "7");
        mUri = "/x?q=2";
        assertDiffersFrom(first);
        mUri = "/x?q=1";
        mBody = new byte[] {1, 2};
        assertDiffersFrom(first);
    }

    /** A large body must not be hashed before its request is suspected. */
    @Test
    void target_read_leavesTheFingerprintUnknown() {
        RequestIdentity identity = identity();
        identity.target();

        assertThat(identity.knownFingerprint()).isEmpty();
    }
}
