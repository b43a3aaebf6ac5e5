package org.geraniumusher.balance;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.geraniumusher.model.Slice;
import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Guards against hot keys that are missed, cold ones that are split off, and alternation. */
class HotKeyDetectorTest {
    private static final Slice ALL = new Slice(0, -1, "s0", 0, "", "");

    private static List<SliceLoad> load(Slice slice, double load) {
        return ImmutableList.of(new SliceLoad(slice, load));
    }

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
        ImmutableList<HotKeyProposal> proposals = detector.propose(load(ALL, 100));
        assertThat(proposals).hasSize(1);
        assertThat(proposals.get(0)).isInstanceOf(HotKeyProposal.Split.class);
        assertThat(proposals.get(0).hash()).isEqualTo(7);
        run(detector, 60, 0, random);
        assertThat(detector.propose(load(ALL, 100))).isEmpty();
    }

    @Test
    void propose_belowShare_nothing() {
        HotKeyDetector detector = HotKeyDetector.create(32, 5);
        run(detector, 60, 10, new Random(2));
        assertThat(detector.propose(load(ALL, 100))).isEmpty();
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

    @Property(tries = 100)
    void record_anyStream_boundsHold(@ForAll long seed) {
        HotKeyDetector detector = HotKeyDetector.create(10, 1);
        Random random = new Random(seed);
        Map<Long, Integer> counts = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            long hash = (long) Math.abs(random.nextGaussian() * 10);
            detector.record(hash);
            counts.merge(hash, 1, Integer::sum);
        }
        // With a half-life of 1 s the factor is 0.5, and the rate equals the guaranteed count.
        counts.forEach((h, n) -> assertThat(detector.requestsPerSecond(h)).isAtMost(n));
    }

    @Test
    void record_keyAboveOneOverCapacity_isTracked() {
        HotKeyDetector detector = HotKeyDetector.create(10, 1);
        for (int i = 0; i < 10_000; i++) {
            detector.record(i % 5 == 0 ? 7 : 1_000 + i);
        }
        assertThat(detector.requestsPerSecond(7)).isGreaterThan(900.0);
    }
}
