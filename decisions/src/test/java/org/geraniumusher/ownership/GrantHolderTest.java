package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;

/**
 * Guards against a backend server that runs requests under a grant that was delayed, doubled,
 * reordered, expired or meant for its former run, or that reports a release too early.
 */
class GrantHolderTest {
    private static final String SERVICE = "catalogue";
    private static final GrantRange LOW = new GrantRange(0, 99, 7);
    private static final GrantRange HIGH = new GrantRange(100, 199, 8);

    private final GrantHolder mHolder = GrantHolder.create(3);

    private static Grant grant(long version, long reading, GrantRange... ranges) {
        return new Grant(
                SERVICE, version, 3, reading, reading + 1_000, ImmutableList.copyOf(ranges));
    }

    private Admission check(long now, long hash, long epoch) {
        return mHolder.check(now, SERVICE, hash, epoch);
    }

    @Test
    void check_eachReason_reported() {
        assertThat(check(0, 5, 7)).isEqualTo(Admission.NO_GRANT);
        mHolder.onGrant(grant(4, 100, LOW));
        assertThat(check(1_099, 5, 7)).isEqualTo(Admission.ADMITTED);
        assertThat(check(1_099, 5, 6)).isEqualTo(Admission.WRONG_EPOCH);
        assertThat(check(1_099, 100, 8)).isEqualTo(Admission.NOT_OWNED);
        assertThat(check(1_100, 5, 7)).isEqualTo(Admission.EXPIRED);
    }

    @Test
    void onGrant_otherIncarnation_refused() {
        Grant former = new Grant(SERVICE, 4, 2, 100, 1_100, List.of(LOW));
        assertThat(mHolder.onGrant(former)).isInstanceOf(GrantReply.Refused.class);
        assertThat(check(200, 5, 7)).isEqualTo(Admission.NO_GRANT);
    }

    @Test
    void onGrant_doubled_refused() {
        mHolder.onGrant(grant(4, 100, LOW));
        assertThat(mHolder.onGrant(grant(4, 100, LOW))).isInstanceOf(GrantReply.Refused.class);
    }

    @Test
    void onGrant_olderVersionWithLaterReading_refused() {
        mHolder.onGrant(grant(4, 100, HIGH));
        assertThat(mHolder.onGrant(grant(3, 500, LOW))).isInstanceOf(GrantReply.Refused.class);
        assertThat(check(600, 5, 7)).isEqualTo(Admission.NOT_OWNED);
    }

    @Test
    void onGrant_sameVersionReordered_laterReadingStays() {
        mHolder.onGrant(grant(4, 300, LOW));
        assertThat(mHolder.onGrant(grant(4, 200, LOW))).isInstanceOf(GrantReply.Refused.class);
        assertThat(check(1_250, 5, 7)).isEqualTo(Admission.ADMITTED);
    }

    @Test
    void onGrant_newerVersionWithEarlierReading_inForce() {
        mHolder.onGrant(grant(4, 300, LOW));
        assertThat(mHolder.onGrant(grant(5, 200))).isInstanceOf(GrantReply.Acknowledged.class);
        assertThat(check(400, 5, 7)).isEqualTo(Admission.NOT_OWNED);
    }

    @Test
    void onGrant_releasedSliceBusy_acknowledgedAfterLastRequest() {
        mHolder.onGrant(grant(4, 100, LOW, HIGH));
        assertThat(mHolder.onRequestStart(200, SERVICE, 5, 7).isAdmitted()).isTrue();
        assertThat(mHolder.onRequestStart(200, SERVICE, 5, 7).isAdmitted()).isTrue();
        assertThat(mHolder.onRequestStart(200, SERVICE, 150, 8).isAdmitted()).isTrue();
        assertThat(mHolder.onGrant(grant(5, 300, HIGH))).isInstanceOf(GrantReply.Deferred.class);
        assertThat(mHolder.onRequestStart(310, SERVICE, 5, 7)).isEqualTo(Admission.NOT_OWNED);
        assertThat(mHolder.onRequestEnd(SERVICE, 5)).isEmpty();
        assertThat(mHolder.onRequestEnd(SERVICE, 5))
                .isEqualTo(Optional.of(new GrantAck(SERVICE, 3, 5, 300)));
        assertThat(mHolder.onRequestEnd(SERVICE, 150)).isEmpty();
    }

    @Test
    void onGrant_expiredGrantLeftRequestRunning_releaseStillWaits() {
        mHolder.onGrant(grant(4, 100, LOW));
        mHolder.onRequestStart(200, SERVICE, 5, 7);
        assertThat(mHolder.onGrant(grant(5, 9_000))).isInstanceOf(GrantReply.Deferred.class);
        assertThat(mHolder.onRequestEnd(SERVICE, 5)).isPresent();
    }
}
