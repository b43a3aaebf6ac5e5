package org.geraniumusher.membership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Guards against choices that differ between daemons, pile up, or move without need. */
class RendezvousTest {
    @Property(seed = "42", tries = 50)
    void gateway_memberLeaves_onlyItsServersMove(
            @ForAll @IntRange(min = 2, max = 40) int count, @ForAll @IntRange(max = 39) int gone) {
        List<Member> members = members(count);
        Member leaver = members.get(gone % count);
        List<Member> rest = new ArrayList<>(members);
        rest.remove(leaver);
        Rendezvous before = Rendezvous.of(members);
        Rendezvous after = Rendezvous.of(ImmutableList.copyOf(rest).reverse());
        for (int i = 0; i < 100; i++) {
            Member old = before.gateway("server" + i, "dc1").orElseThrow();
            if (!old.equals(leaver)) {
                assertThat(after.gateway("server" + i, "dc1")).hasValue(old);
            }
        }
    }

    @Test
    void gateway_dataCentreHasDaemons_choosesAmongThemEvenly() {
        Rendezvous rendezvous = Rendezvous.of(members(12));
        Map<Member, Integer> counts = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            counts.merge(rendezvous.gateway("server" + i, "dc1").orElseThrow(), 1, Integer::sum);
        }
        assertThat(counts).hasSize(4);
        // Four daemons share 4,000 servers; 150 is more than five standard deviations.
        counts.forEach(
                (member, n) -> {
                    assertThat(member.dataCentre()).isEqualTo("dc1");
                    assertThat((double) n).isWithin(150).of(1_000);
                });
    }

    @Test
    void feeders_severalDataCentres_differ() {
        Rendezvous rendezvous = Rendezvous.of(members(12));
        ImmutableList<Member> feeders = rendezvous.feeders("west", ImmutableSet.of("dc0", "dc2"));
        assertThat(feeders).hasSize(2);
        assertThat(feeders.stream().map(Member::dataCentre).toList()).containsExactly("dc0", "dc2");
        assertThat(rendezvous.feeders("west", ImmutableSet.of("dc1"))).hasSize(2);
        assertThat(rendezvous.relay("dc9")).isEmpty();
    }

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(SimulatedNetwork.member("d" + i, 1));
        }
        return members;
    }
}
