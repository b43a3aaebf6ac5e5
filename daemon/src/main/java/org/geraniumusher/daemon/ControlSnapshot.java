package org.geraniumusher.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.dissemination.Disseminator;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.FailureDetector;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.operator.DaemonView;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.ownership.ShardMember;

import java.util.Comparator;
import java.util.Optional;

/**
 * Holds what operators see of the duty control at one moment. Immutable and thread-safe.
 *
 * @param undecided slices that wait for the store or for a receiving server, over all services
 * @param collectors daemons that collect the counts for the burn report
 */
record ControlSnapshot(
        Configuration configuration,
        ImmutableList<MemberStatus> members,
        ImmutableMap<String, DaemonView.ShardSnapshot> shards,
        int undecided,
        ImmutableList<Member> collectors) {
    static ControlSnapshot empty() {
        return new ControlSnapshot(
                Configuration.of(), ImmutableList.of(), ImmutableMap.of(), 0, ImmutableList.of());
    }

    /** Reads the decisions; called on their thread. */
    static ControlSnapshot of(
            FailureDetector detector,
            Disseminator disseminator,
            OwnershipRunner ownership,
            ImmutableList<Member> collectors) {
        ImmutableMap.Builder<String, DaemonView.ShardSnapshot> shards = ImmutableMap.builder();
        int undecided = 0;
        for (var entry : ownership.members().entrySet()) {
            ShardMember member = entry.getValue();
            undecided += member.undecided();
            member.known()
                    .ifPresent(
                            known ->
                                    shards.put(
                                            entry.getKey(),
                                            new DaemonView.ShardSnapshot(
                                                    known.version(), known.state())));
        }
        ImmutableListMultimap<String, String> roles = roles(ownership);
        ImmutableMap<String, Long> own = shardVersions(ownership);
        ImmutableList<MemberStatus> members =
                detector.members().stream()
                        .map(update -> toStatus(update, detector.self(), disseminator, roles, own))
                        .sorted(Comparator.comparing(MemberStatus::name))
                        .collect(ImmutableList.toImmutableList());
        return new ControlSnapshot(
                disseminator.configuration(),
                members,
                shards.buildOrThrow(),
                undecided,
                collectors);
    }

    private static MemberStatus toStatus(
            MemberUpdate update,
            Member self,
            Disseminator disseminator,
            ImmutableListMultimap<String, String> rolesByIdentity,
            ImmutableMap<String, Long> ownShards) {
        Member member = update.member();
        Optional<Versions> versions = disseminator.versionsOf(member);
        ImmutableList.Builder<String> roles = ImmutableList.builder();
        String id = member.name() + "@" + member.incarnation();
        roles.addAll(rolesByIdentity.get(id));
        if (member.equals(self) && disseminator.isFeeder()) {
            roles.add("feeder");
        }
        if (member.equals(self) && disseminator.isRelay()) {
            roles.add("relay");
        }
        return new MemberStatus(
                member.name(),
                member.incarnation(),
                MemberStatus.State.valueOf(update.state().name()),
                member.dataCentre(),
                versions.map(Versions::configuration).orElse(0L),
                versions.map(v -> v.early().asList()).orElse(ImmutableList.of()),
                member.equals(self)
                        ? ownShards
                        : versions.map(Versions::shards).orElse(ImmutableMap.of()),
                roles.build());
    }

    /** Returns this daemon's own versions; the disseminator only keeps those of the others. */
    private static ImmutableMap<String, Long> shardVersions(OwnershipRunner ownership) {
        ImmutableMap.Builder<String, Long> versions = ImmutableMap.builder();
        ownership
                .members()
                .forEach(
                        (service, shard) ->
                                shard.known().ifPresent(k -> versions.put(service, k.version())));
        return versions.buildOrThrow();
    }

    /** Goes through the shards once, not once for each member: a fleet has thousands of them. */
    private static ImmutableListMultimap<String, String> roles(OwnershipRunner ownership) {
        ImmutableListMultimap.Builder<String, String> roles = ImmutableListMultimap.builder();
        ownership
                .members()
                .forEach(
                        (service, shard) ->
                                shard.known().ifPresent(s -> addRoles(roles, service, s.state())));
        return roles.build();
    }

    private static void addRoles(
            ImmutableListMultimap.Builder<String, String> roles, String service, ShardState state) {
        roles.put(state.coordinator(), "coordinator of " + service);
        for (String standby : ImmutableSet.copyOf(state.standbys())) {
            if (!standby.equals(state.coordinator())) {
                roles.put(standby, "standby of " + service);
            }
        }
    }
}
