package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.ownership.MemberId;
import org.junit.jupiter.api.Test;

/** Guards against a live daemon that counts as gone because the platform's list lags. */
class InstanceListTest {
    private static final long NOW = 100_000_000;
    private static final MemberId SELF = new MemberId("a", 1);
    private static final MemberId OLD = new MemberId("b", 1);
    private static final MemberId NEW = new MemberId("c", NOW - 60_000);

    @Test
    void gone_missingForLong_onlyTheOldOne() {
        InstanceList list = new InstanceList(ImmutableSet.of("a"));
        assertThat(list.gone(ImmutableList.of(OLD, NEW), SELF, NOW)).containsExactly(OLD);
    }

    @Test
    void gone_stillListed_none() {
        InstanceList list = new InstanceList(ImmutableSet.of("a", "b"));
        assertThat(list.gone(ImmutableList.of(OLD), SELF, NOW)).isEmpty();
    }

    @Test
    void gone_listWithoutThisDaemon_none() {
        InstanceList list = new InstanceList(ImmutableSet.of());
        assertThat(list.gone(ImmutableList.of(OLD), SELF, NOW)).isEmpty();
    }
}
