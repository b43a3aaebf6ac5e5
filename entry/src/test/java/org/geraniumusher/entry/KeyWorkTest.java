package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;

import org.junit.jupiter.api.Test;

/** Guards against reports that lose what callers asked for. */
final class KeyWorkTest {
    private final KeyWork mWork = new KeyWork();

    @Test
    void decode_encodedReport_isTheSame() {
        mWork.onAsked("s", 7);
        mWork.onAsked("s", 7);
        mWork.onAsked("t", 65_535);
        mWork.onRun("s", "a@1", 250_000_000L);

        ImmutableMap<String, KeyWork.Report> reports = mWork.takeAll();

        assertThat(KeyWork.decode(KeyWork.encode(reports))).isEqualTo(reports);
        assertThat(reports.get("s").keys()).containsExactly(7, 7);
    }

    @Test
    void takeAll_again_isEmpty() {
        mWork.onAsked("s", 7);
        mWork.takeAll();

        assertThat(mWork.takeAll()).isEmpty();
    }
}
