package org.geraniumusher.balance;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.geraniumusher.model.Slice;
import org.junit.jupiter.api.Test;

import java.util.Random;

/** Guards against hot keys that are missed, cold ones that are split off, and alternation. */
class HotKeyDetectorTest {
    private static final ImmutableList<SliceLoad> ALL =
            ImmutableList.of(new SliceLoad(new Slice(0, -1, "s0", 0, "", ""), 100));

    /** Records, for some seconds, a key with {@code hot} of 100 requests a second. */
    private static void run(HotKeyDetector detector, int seconds, int hot, Random random) {
        for (int i = 0; i < seconds; i++) {
            for (int j = 0; j < 100; j++) {
                detector.record(j < hot ? 7 : random.nextLong());
            }
            detector.decay();
        }
    }

    @Test
    void propose_hotKey_splitsAndForgetsIt() {
        HotKeyDetector detector = HotKeyDetector.create(32, 5);
        Random random = new Random(1);
        run(detector, 60, 30, random);
        assertThat(detector.requestsPerSecond(7)).isWithin(3).of(30);
        ImmutableList<HotKeyProposal> proposals = detector.propose(ALL);
        assertThat(proposals).hasSize(1);
        assertThat(proposals.get(0)).isInstanceOf(HotKeyProposal.Split.class);
        assertThat(proposals.get(0).hash()).isEqualTo(7);
        run(detector, 30, 10, random);
        assertThat(detector.propose(ALL)).isEmpty();
    }

    @Test
    void propose_singleSlice_mergedOnlyWhenCool() {
        HotKeyDetector detector = HotKeyDetector.create(32, 5);
        SliceLoad rest = new SliceLoad(new Slice(8, -1, "s0", 0, "", ""), 90);
        Slice single = new Slice(7, 7, "s0", 0, "", "");
        assertThat(detector.propose(ImmutableList.of(new SliceLoad(single, 10), rest))).isEmpty();
        assertThat(detector.propose(ImmutableList.of(new SliceLoad(single, 1), rest)))
                .containsExactly(new HotKeyProposal.Merge(7));
    }

    @Property(seed = "42", tries = 100)
    void record_anyStream_neverOverestimatesNorLosesFrequentKeys(@ForAll long seed) {
        HotKeyDetector detector = HotKeyDetector.create(10, 1);
        Random random = new Random(seed);
        int[] counts = new int[100];
        for (int i = 0; i < 1_000; i++) {
            int hash = i % 5 == 0 ? 7 : random.nextInt(100);
            detector.record(hash);
            counts[hash]++;
        }
        assertThat(detector.requestsPerSecond(7)).isGreaterThan(0.0);
        // With a half-life of 1 s the rate equals the count.
        for (int i = 0; i < counts.length; i++) {
            assertThat(detector.requestsPerSecond(i)).isAtMost(counts[i]);
        }
    }
}
