package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;

/** Guards against authority that outlasts its fencing. */
class AuthorityTest {
    private static final MemberId D1 = new MemberId("d1", 1);
    private static final MemberId D2 = new MemberId("d2", 1);
    private static final MemberId D3 = new MemberId("d3", 1);
    private static final long AUTHORITY = OwnershipTimes.AUTHORITY_NANOS;

    private final Authority mAuthority = new Authority(D1);

    @Test
    void until_majority_countsFromSending() {
        mAuthority.restart(List.of(D1, D2, D3));
        assertThat(mAuthority.until(10)).isEmpty();
        mAuthority.acknowledge(D2, 3);
        assertThat(mAuthority.until(10)).hasValue(3 + AUTHORITY);
        mAuthority.acknowledge(D2, 1);
        mAuthority.acknowledge(D3, 5);
        assertThat(mAuthority.until(10)).hasValue(5 + AUTHORITY);
        assertThat(mAuthority.until(5 + AUTHORITY)).isEmpty();
    }

    @Test
    void until_groupOfTwo_needsBoth() {
        mAuthority.restart(List.of(D2, D1));
        assertThat(mAuthority.until(10)).isEmpty();
        mAuthority.acknowledge(D2, 3);
        assertThat(mAuthority.until(10)).hasValue(3 + AUTHORITY);
    }

    @Test
    void until_acknowledgedByStrangerOrOutsideGroup_none() {
        mAuthority.restart(List.of(D1, D2));
        mAuthority.acknowledge(D3, 3);
        assertThat(mAuthority.until(10)).isEmpty();
        mAuthority.restart(List.of(D2, D3));
        mAuthority.acknowledge(D2, 3);
        mAuthority.acknowledge(D3, 3);
        assertThat(mAuthority.until(10)).isEmpty();
    }
}
