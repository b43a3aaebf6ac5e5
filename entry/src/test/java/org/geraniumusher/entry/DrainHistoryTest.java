package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Maps;

import org.geraniumusher.model.Selector;
import org.geraniumusher.traffic.Drain;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Guards against drains that a restore of the store takes back. */
final class DrainHistoryTest {
    private static final Drain NIGHT = new Drain("night", Selector.of("server=a"));
    private static final Drain DAY = new Drain("day", Selector.of("server=b"));

    private final DrainHistory mHistory = new DrainHistory();

    private List<Drain> list(long epoch, long revision, Drain... drains) {
        var listed = Maps.uniqueIndex(List.of(drains), Drain::name);
        return mHistory.onListed(epoch, listed, Maps.transformValues(listed, d -> revision));
    }

    @Test
    void onListed_drainIsLost_staysInForceUntilItIsListedAgain() {
        list(1, 5, NIGHT, DAY);

        assertThat(list(2, 3, DAY)).containsExactly(NIGHT, DAY);
        assertThat(mHistory.lost()).containsExactly(NIGHT);

        assertThat(list(2, 6, DAY, NIGHT)).containsExactly(NIGHT, DAY);
        assertThat(mHistory.lost()).isEmpty();
        assertThat(list(2, 7, DAY)).containsExactly(DAY);
    }

    @Test
    void onListed_endedDrainComesBack_isNotInForce() {
        list(1, 5, NIGHT);
        list(1, 6);

        assertThat(list(2, 5, NIGHT)).isEmpty();
        assertThat(mHistory.revived()).containsExactly("night", 5L);

        assertThat(list(2, 8)).isEmpty();
        assertThat(mHistory.revived()).isEmpty();
    }

    /** An operator may start the same drain again after the restore. */
    @Test
    void onListed_drainIsStartedAgainAfterRestore_isInForce() {
        list(1, 5, NIGHT);
        list(1, 6);
        list(2, 4);

        assertThat(list(2, 7, NIGHT)).containsExactly(NIGHT);
        assertThat(mHistory.revived()).isEmpty();
    }
}
