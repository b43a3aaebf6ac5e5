package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against connections that carry an ID twice or remember more and more IDs. */
final class CarriedRequestsTest {
    private final CarriedRequests mCarried = new CarriedRequests();

    @Test
    void contains_onlyIdsThatWereSent() {
        mCarried.onSent("a", 0);

        assertThat(mCarried.contains("a")).isTrue();
        assertThat(mCarried.contains("b")).isFalse();
    }

    @Test
    void mayCarryMore_untilLimitIsReached() {
        for (int i = 0; i < CarriedRequests.MAX_REQUESTS; i++) {
            assertThat(mCarried.mayCarryMore()).isTrue();
            mCarried.onSent("id" + i, i);
        }

        assertThat(mCarried.mayCarryMore()).isFalse();
        assertThat(mCarried.contains("id0")).isTrue();
    }

    @Test
    void lastResponseAt_noResponseYet_isTimeOfFirstRequest() {
        mCarried.onSent("a", 5);
        mCarried.onSent("b", 7);

        assertThat(mCarried.lastResponseAtNanos()).isEqualTo(5);

        mCarried.onResponse(9);

        assertThat(mCarried.lastResponseAtNanos()).isEqualTo(9);
        assertThat(mCarried.lastSentAtNanos()).isEqualTo(7);
    }
}
