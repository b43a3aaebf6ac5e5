package org.geraniumusher.dissemination;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.geraniumusher.dissemination.Change.Invalid;
import org.geraniumusher.dissemination.SyncMessage.Delta;
import org.geraniumusher.dissemination.SyncMessage.Snapshot;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.Labels;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Guards against versions that go back, changes lost in a gap, deleted objects that return, and
 * invalid objects that replace good ones.
 */
class ConfigurationReplicaTest {
    private final ConfigurationReplica mReplica = new ConfigurationReplica();

    @Property(seed = "42", tries = 200)
    void apply_reorderedDuplicatedLost_neverGoesBackAndConverges(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int count) {
        Random random = new Random(seed);
        List<Change> history = history(random, count);
        ConfigurationReplica source = new ConfigurationReplica();
        ConfigurationReplica replica = new ConfigurationReplica();
        List<SyncMessage> messages = new ArrayList<>();
        for (Change change : history) {
            long before = source.version();
            source.apply(Delta.of(before, change.version(), ImmutableList.of(change)));
            messages.add(Delta.of(before, change.version(), ImmutableList.of(change)));
            messages.add(source.changesSince(random.nextInt((int) source.version() + 1)));
            messages.add(source.changesSince(-1));
        }
        for (int i = 0; i < messages.size(); i++) {
            long before = replica.version();
            long shown = replica.configuration().version();
            deliver(replica, messages.get(random.nextInt(messages.size())));
            assertThat(replica.version()).isAtLeast(before);
            assertThat(replica.configuration().version()).isAtLeast(shown);
        }
        deliver(replica, source.changesSince(replica.version()));
        assertThat(replica.version()).isEqualTo(source.version());
        assertThat(replica.configuration()).isEqualTo(source.configuration());
        assertThat(source.configuration().dataCentres())
                .containsExactlyElementsIn(model(history).dataCentres());
    }

    @Test
    void apply_gap_inForceAtOnceButVersionWaits() {
        apply(0, put(1, "a", "1"));
        var result = mReplica.apply(Delta.of(4, 5, ImmutableList.of(put(5, "b", "5"))));
        assertThat(result.gap()).isTrue();
        assertThat(mReplica.version()).isEqualTo(1);
        assertThat(mReplica.early()).containsExactly(5L);
        assertThat(mReplica.configuration().find(Kind.DATA_CENTRE, "b")).isPresent();
        apply(1, put(3, "b", "3"));
        assertThat(label("b")).isEqualTo("5");
        mReplica.apply(Delta.of(3, 5, ImmutableList.of(put(5, "b", "5"))));
        assertThat(mReplica.version()).isEqualTo(5);
        assertThat(mReplica.early()).isEmpty();
    }

    @Test
    void apply_earlyDeletion_olderPutDoesNotReturn() {
        apply(0, put(1, "a", "1"));
        mReplica.apply(Delta.of(4, 5, ImmutableList.of(Change.delete(5, Kind.DATA_CENTRE, "a"))));
        apply(1, put(3, "a", "3"));
        assertThat(mReplica.configuration().dataCentres()).isEmpty();
    }

    @Test
    void apply_invalidObject_lastGoodStaysAndReasonIsKept() {
        apply(0, put(1, "a", "1"));
        Change bad = Change.invalid(2, Kind.DATA_CENTRE, "a", "region", "empty");
        var result = mReplica.apply(Delta.of(1, 2, ImmutableList.of(bad)));
        assertThat(label("a")).isEqualTo("1");
        assertThat(result.applied()).containsExactly(bad);
        assertThat(mReplica.version()).isEqualTo(2);
        assertThat(mReplica.apply(Delta.of(1, 2, ImmutableList.of(bad))).isNew()).isFalse();
        mReplica.apply(new Snapshot(3, ImmutableList.of(bad)));
        assertThat(label("a")).isEqualTo("1");
    }

    @Test
    void changesSince_logTooShort_givesSnapshot() {
        int count = ConfigurationReplica.LOG_CHANGES + 10;
        for (int i = 1; i <= count; i++) {
            apply(i - 1, put(i, "dc" + i % 7, Integer.toString(i)));
        }
        assertThat(mReplica.changesSince(1)).isInstanceOf(Snapshot.class);
        Delta delta = (Delta) mReplica.changesSince(20);
        assertThat(delta.changes()).hasSize(ConfigurationReplica.DELTA_CHANGES);
        assertThat(delta.latest()).isGreaterThan(delta.version());
    }

    @Test
    void isBehind_earlyVersionUnknown_true() {
        Versions versions = new Versions(0, ImmutableSet.of(4L), ImmutableMap.of());
        assertThat(mReplica.isBehind(versions)).isTrue();
        mReplica.apply(Delta.of(3, 4, ImmutableList.of(put(4, "a", "4"))));
        assertThat(mReplica.isBehind(versions)).isFalse();
    }

    private void apply(long base, Change change) {
        mReplica.apply(Delta.of(base, change.version(), ImmutableList.of(change)));
    }

    private String label(String name) {
        return mReplica.configuration()
                .find(Kind.DATA_CENTRE, name)
                .orElseThrow()
                .labels()
                .get("v")
                .orElseThrow();
    }

    private static void deliver(ConfigurationReplica replica, SyncMessage message) {
        if (message instanceof Delta delta) {
            replica.apply(delta);
        } else {
            replica.apply((Snapshot) message);
        }
    }

    private static List<Change> history(Random random, int count) {
        List<Change> history = new ArrayList<>();
        long version = 0;
        for (int i = 0; i < count; i++) {
            version += 1 + random.nextInt(3);
            String name = "dc" + random.nextInt(5);
            int dice = random.nextInt(10);
            if (dice < 6) {
                history.add(put(version, name, Long.toString(version)));
            } else if (dice < 9) {
                history.add(Change.delete(version, Kind.DATA_CENTRE, name));
            } else {
                history.add(Change.invalid(version, Kind.DATA_CENTRE, name, "region", "empty"));
            }
        }
        return history;
    }

    private static Configuration model(List<Change> history) {
        Configuration model = Configuration.of();
        for (Change change : history) {
            if (change.content() instanceof Change.Put put) {
                model = model.with(change.version(), put.object());
            } else if (!(change.content() instanceof Invalid)) {
                model = model.without(change.version(), change.kind(), change.name());
            }
        }
        return model;
    }

    private static Change put(long version, String name, String label) {
        return Change.put(version, new DataCentre(name, "r", Labels.of("v", label)));
    }
}
