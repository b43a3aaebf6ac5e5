package org.geraniumusher.dissemination;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.Rendezvous;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * Guards against daemons that stay apart after loss, versions that go back, changes that wait for
 * the store to return, and a wait for a version that ends too early.
 */
class DisseminatorTest {
    private static final String SERVICE = "catalogue";

    private final Map<Member, Disseminator> mDaemons = new LinkedHashMap<>();
    private final Deque<Runnable> mInFlight = new ArrayDeque<>();
    private Random mRandom = new Random(1);
    private double mLoss;
    private long mNow;

    @Property(seed = "42", tries = 60)
    void onVersions_differentHistoriesAndLoss_converge(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 12) int count,
            @ForAll @DoubleRange(min = 0, max = 0.5) double loss) {
        mRandom = new Random(seed);
        List<Member> members = start(count);
        mLoss = loss;
        ShardState shard = ShardState.create(SERVICE, 8);
        for (int version = 1; version <= 40; version++) {
            Member at = members.get(mRandom.nextInt(count));
            Disseminator daemon = mDaemons.get(at);
            if (mRandom.nextBoolean()) {
                perform(at, daemon.onAccepted(put(version)));
            } else {
                shard = moved(shard, version);
                perform(at, daemon.onShardWritten(version, shard));
            }
            exchangeVersions();
        }
        mLoss = 0;
        feed(members.get(0), 41);
        for (int round = 0; round < 20; round++) {
            exchangeVersions();
        }
        Disseminator first = mDaemons.get(members.get(0));
        for (Disseminator daemon : mDaemons.values()) {
            assertThat(daemon.configuration()).isEqualTo(first.configuration());
            assertThat(daemon.configurationVersion()).isEqualTo(41);
            assertThat(daemon.shard(SERVICE)).hasValue(shard);
        }
    }

    @Test
    void onAccepted_noLoss_inForceEverywhereWithoutProbes() {
        List<Member> members = start(9);
        Member at = members.get(4);
        perform(at, mDaemons.get(at).onAccepted(put(7)));
        deliverAll();
        for (Disseminator daemon : mDaemons.values()) {
            assertThat(daemon.configuration().dataCentres()).hasSize(1);
        }
    }

    @Test
    void onShardWritten_secondVersion_sentAsChangedSlices() {
        List<Member> members = start(3);
        Disseminator daemon = mDaemons.get(members.get(0));
        ShardState state = ShardState.create(SERVICE, 256);
        daemon.onShardWritten(1, state);
        ImmutableList<SyncCommand> commands = daemon.onShardWritten(2, moved(state, 2));
        List<ShardChange> sent =
                commands.stream()
                        .filter(c -> c instanceof SyncCommand.Send)
                        .map(c -> ((SyncCommand.Send) c).message())
                        .flatMap(m -> ((SyncMessage.ShardChanges) m).changes().stream())
                        .collect(Collectors.toList());
        assertThat(sent).isNotEmpty();
        for (ShardChange change : sent) {
            assertThat(((ShardChange.Slices) change).slices()).hasSize(1);
        }
    }

    @Test
    void lagging_untilAllReport_namesTheRest() {
        List<Member> members = start(3);
        Member at = members.get(0);
        perform(at, mDaemons.get(at).onAccepted(put(7)));
        assertThat(mDaemons.get(at).lagging(7)).hasSize(2);
        deliverAll();
        mDaemons.get(at).onAwait(7);
        perform(at, mDaemons.get(at).onTick(mNow));
        deliverAll();
        assertThat(mDaemons.get(at).lagging(7)).isEmpty();
        assertWithMessage("next version").that(mDaemons.get(at).lagging(8)).hasSize(3);
    }

    @Test
    void lagging_restartedMember_countsAgain() {
        List<Member> members = start(2);
        Disseminator daemon = mDaemons.get(members.get(0));
        daemon.onVersions(0, members.get(1), mDaemons.get(members.get(1)).versions());
        Member restarted = member(1, 99);
        setMembers(daemon, ImmutableList.of(members.get(0), restarted));
        assertThat(daemon.lagging(0)).containsExactly(restarted);
    }

    /** Delivers the store's list to one daemon. */
    private void feed(Member at, int version) {
        perform(at, mDaemons.get(at).onListed(version, ImmutableList.of(put(version))));
        deliverAll();
    }

    /** Lets every daemon hear the versions of one other. */
    private void exchangeVersions() {
        List<Member> members = new ArrayList<>(mDaemons.keySet());
        for (Member to : members) {
            Member from = members.get(mRandom.nextInt(members.size()));
            if (from != to) {
                mNow += 600_000_000L;
                Versions versions = mDaemons.get(from).versions();
                perform(to, mDaemons.get(to).onVersions(mNow, from, versions));
                deliverAll();
            }
        }
    }

    private void deliverAll() {
        while (!mInFlight.isEmpty()) {
            mInFlight.poll().run();
        }
    }

    private void perform(Member by, List<SyncCommand> commands) {
        for (SyncCommand command : commands) {
            if (command instanceof SyncCommand.Send send && mRandom.nextDouble() >= mLoss) {
                Member to = send.to();
                Disseminator target = mDaemons.get(to);
                if (send.message() instanceof SyncMessage.VersionsReport) {
                    Versions versions = mDaemons.get(by).versions();
                    mInFlight.add(() -> perform(to, target.onVersions(mNow, by, versions)));
                } else {
                    mInFlight.add(() -> deliver(by, to, send.message()));
                }
            }
        }
    }

    private void deliver(Member from, Member to, SyncMessage message) {
        Disseminator target = mDaemons.get(to);
        long configuration = target.configurationVersion();
        long shard = target.shardVersion(SERVICE);
        perform(to, target.onMessage(mNow, from, message));
        assertThat(target.configurationVersion()).isAtLeast(configuration);
        assertThat(target.shardVersion(SERVICE)).isAtLeast(shard);
    }

    private List<Member> start(int count) {
        // jqwik keeps the test object over the tries of a property.
        mDaemons.clear();
        mInFlight.clear();
        mLoss = 0;
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(i, 1));
        }
        for (Member member : members) {
            Disseminator daemon = Disseminator.create(member);
            setMembers(daemon, members);
            mDaemons.put(member, daemon);
        }
        return members;
    }

    private static void setMembers(Disseminator daemon, List<Member> members) {
        daemon.onMembers(Rendezvous.of(members), ImmutableList.copyOf(members));
    }

    private static Member member(int index, long incarnation) {
        Address address = new Address("127.0.0.1", 10_000 + index);
        return new Member("d" + index, incarnation, "dc" + index % 3, address, address, address);
    }

    private static Change put(long version) {
        return Change.put(
                version,
                new DataCentre("dc" + version % 5, "r", Labels.of("v", Long.toString(version))));
    }

    private static ShardState moved(ShardState state, long epoch) {
        List<Slice> slices = new ArrayList<>(state.slices());
        int index = (int) (epoch % slices.size());
        slices.set(index, slices.get(index).assignedTo("b" + epoch, epoch));
        return state.withSlices(epoch, slices);
    }
}
