package org.geraniumusher.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.Rendezvous;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.routing.GatewayTable;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Chooses gateway daemons among the members that are held alive. Immutable but for a cache of its
 * choices; thread-safe.
 */
final class GatewayDaemons implements GatewayTable {
    private final Member mSelf;
    private final Rendezvous mLive;
    private final ImmutableSet<Address> mAnswering;
    private final Map<String, Optional<Member>> mChoices = new ConcurrentHashMap<>();

    /**
     * Creates the table.
     *
     * @param leaving daemons that get no new requests but finish those they have
     */
    GatewayDaemons(Member self, Rendezvous live, Collection<Member> leaving) {
        mSelf = self;
        mLive = live;
        mAnswering =
                Stream.concat(live.members().stream(), leaving.stream())
                        .map(Member::forwardAddress)
                        .collect(ImmutableSet.toImmutableSet());
    }

    @Override
    public Optional<Address> gatewayOf(BackendServer server, Predicate<Address> avoided) {
        Optional<Member> choice =
                mChoices.computeIfAbsent(
                        server.name(), name -> mLive.gateway(name, server.dataCentre()));
        if (choice.isPresent() && isAvoided(choice.get(), avoided)) {
            choice = otherThan(server, avoided);
        }
        return choice.filter(member -> !member.equals(mSelf)).map(Member::forwardAddress);
    }

    @Override
    public boolean isAlive(Address gateway) {
        return mAnswering.contains(gateway);
    }

    private Optional<Member> otherThan(BackendServer server, Predicate<Address> avoided) {
        ImmutableList<Member> reachable =
                mLive.members().stream()
                        .filter(member -> !isAvoided(member, avoided))
                        .collect(ImmutableList.toImmutableList());
        return Rendezvous.of(reachable).gateway(server.name(), server.dataCentre());
    }

    private boolean isAvoided(Member member, Predicate<Address> avoided) {
        return !member.equals(mSelf) && avoided.test(member.forwardAddress());
    }
}
