package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.backend.GrantClient;
import org.geraniumusher.dissemination.Disseminator;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.membership.DetectorSettings;
import org.geraniumusher.membership.FailureDetector;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.membership.MembershipMessage;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.ownership.AuthorityAck;
import org.geraniumusher.ownership.AuthorityRequest;
import org.geraniumusher.ownership.LiveMember;
import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.ownership.VersionedState;
import org.geraniumusher.platform.ObjectApi;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Tests the roles of daemons that operators see. */
class ControlSnapshotTest {
    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final OwnershipRunner mOwnership = ownership();

    @AfterEach
    void stop() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Guards against a role of one shard that hides another, or goes to a former incarnation. */
    @Test
    void of_memberOfSeveralGroups_hasEachRole() {
        mOwnership.onState(7, shard("a", "entry-1@1", "entry-2@1"));
        mOwnership.onState(8, shard("b", "entry-2@1", "entry-1@1"));
        mOwnership.onState(9, shard("c", "entry-1@2", "entry-2@2"));

        ControlSnapshot snapshot =
                ControlSnapshot.of(
                        detector(), Disseminator.create(member(0)), mOwnership, ImmutableList.of());

        assertThat(rolesOf(snapshot, "entry-1"))
                .containsExactly("coordinator of a", "standby of b");
        assertThat(rolesOf(snapshot, "entry-2"))
                .containsExactly("standby of a", "coordinator of b");
    }

    private static List<String> rolesOf(ControlSnapshot snapshot, String name) {
        MemberStatus status =
                snapshot.members().stream()
                        .filter(member -> member.name().equals(name))
                        .findFirst()
                        .orElseThrow();
        return status.roles();
    }

    private static FailureDetector detector() {
        FailureDetector detector = FailureDetector.create(member(0), DetectorSettings.DEFAULT, 1);
        ImmutableList<MemberUpdate> others =
                ImmutableList.of(MemberUpdate.of(member(1)), MemberUpdate.of(member(2)));
        detector.onMessage(0, new MembershipMessage.MembersReply(others.get(0), others));
        return detector;
    }

    private OwnershipRunner ownership() {
        HttpClient client = HttpClient.create(mGroup);
        OwnershipRunner runner =
                new OwnershipRunner(
                        new LiveMember(new MemberId("entry-0", 1), "nadi-b"),
                        () -> 0,
                        new SilentPorts(),
                        ObjectApi.create(client, ADDRESS),
                        GrantClient.create(client));
        Configuration configuration = Configuration.of();
        long version = 1;
        for (String name : List.of("a", "b", "c")) {
            Service service = new Service(name, null, Selector.of("app=" + name), true, 1);
            configuration = configuration.with(version++, service);
        }
        runner.onConfiguration(configuration);
        return runner;
    }

    private static Member member(int index) {
        return new Member("entry-" + index, 1, "nadi-b", ADDRESS, ADDRESS, ADDRESS);
    }

    private static ShardState shard(String service, String coordinator, String standby) {
        ShardState empty = ShardState.create(service, 1);
        return new ShardState(
                service, 1, coordinator, List.of(standby), List.of(), 0, empty.slices());
    }

    /** Drops what the runner sends. */
    private static final class SilentPorts implements OwnershipRunner.Ports {
        @Override
        public void run(Runnable task) {}

        @Override
        public void send(AuthorityRequest request) {}

        @Override
        public void send(AuthorityAck ack) {}

        @Override
        public void onShardKnown(VersionedState state) {}

        @Override
        public void onNewIncarnation(String server) {}
    }
}
