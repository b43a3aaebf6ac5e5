package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

import org.geraniumusher.entry.StoreResult.Change;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Guards against a follower that misses a change because the history does not reach back. */
final class ChangeHistoryTest {
    private final ChangeHistory mHistory = new ChangeHistory();

    private static Change change(long revision) {
        JsonNode none = JsonNodeFactory.instance.objectNode();
        return new Change(new StoreObject("s" + revision, revision, none, none), false);
    }

    @Test
    void since_revisionWithinTheHistory_isWhatFollows() {
        mHistory.beginAt(10);
        mHistory.add(List.of(change(11), change(12)), 12);
        mHistory.add(List.of(), 15);
        mHistory.add(List.of(change(17)), 18);

        assertThat(mHistory.since(10).orElseThrow()).hasSize(3);
        assertThat(mHistory.since(12).orElseThrow()).containsExactly(change(17));
        assertThat(mHistory.since(18).orElseThrow()).isEmpty();
    }

    @Test
    void since_beforeTheBeginning_isUnknown() {
        assertThat(mHistory.since(5).isPresent()).isFalse();
        mHistory.beginAt(10);
        assertThat(mHistory.since(9).isPresent()).isFalse();
        for (int i = 11; i < 100; i++) {
            mHistory.add(List.of(change(i)), i);
        }
        assertThat(mHistory.since(20).isPresent()).isFalse();
        assertThat(mHistory.since(90).orElseThrow()).hasSize(9);
    }
}
