package org.geraniumusher.quarantine;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Guards against requests that share a fingerprint though they differ. */
final class RequestFingerprintTest {
    private static RequestFingerprint of(String... parts) {
        return RequestFingerprint.ofParts(
                Arrays.stream(parts)
                        .map(p -> p.getBytes(StandardCharsets.UTF_8))
                        .collect(ImmutableList.toImmutableList()));
    }

    @Test
    void ofParts_equalParts_isEqual() {
        assertThat(of("GET", "/a", "")).isEqualTo(of("GET", "/a", ""));
    }

    /** Without their lengths, parts could be shifted so that another request looks equal. */
    @Test
    void ofParts_sameBytesInOtherParts_differs() {
        assertThat(of("GET", "/ab")).isNotEqualTo(of("GET/", "ab"));
        assertThat(of("GET", "/a", "")).isNotEqualTo(of("GET", "/a"));
    }
}
