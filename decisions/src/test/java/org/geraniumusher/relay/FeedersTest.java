package org.geraniumusher.relay;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.model.Address;
import org.geraniumusher.relay.Feeders.Member;
import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Guards against store calls that grow with the fleet, and against one feeder for all daemons. */
final class FeedersTest {
    private static List<Member> fleet(int size) {
        return IntStream.range(0, size)
                .mapToObj(
                        i ->
                                new Member(
                                        "entry-" + i,
                                        "dc-" + i % 3,
                                        new Address("127.0.0.1", 1_000 + i),
                                        i == 30 || i == 33 ? 200 : 10))
                .toList();
    }

    private static long feeders(List<Member> fleet) {
        return fleet.stream()
                .filter(m -> Feeders.isFeeder(fleet, m.name(), m.dataCentre()))
                .count();
    }

    @Test
    void isFeeder_smallFleet_isEveryDaemon() {
        assertThat(feeders(fleet(11))).isEqualTo(11);
    }

    @Test
    void isFeeder_largeFleets_isTheSameNumber() {
        assertThat(feeders(fleet(79))).isEqualTo(6);
        assertThat(feeders(fleet(2_800))).isEqualTo(6);
    }

    @Test
    void of_followers_areFromTheOwnDataCentreAndSpread() {
        List<Member> fleet = fleet(90);
        Map<String, Integer> followers = new HashMap<>();
        for (Member member : fleet) {
            List<Member> feeders = Feeders.of(fleet, member.name(), member.dataCentre());
            assertThat(feeders).hasSize(2);
            assertThat(feeders.get(0).dataCentre()).isEqualTo(member.dataCentre());
            followers.merge(feeders.get(0).name(), 1, Integer::sum);
        }
        assertThat(followers).hasSize(6);
    }

    /**
     * Load pattern: a data centre of servers returns, and each change goes to 24 followers. Seen on
     * vtgw-gate-grown trouble-1 with feeders of 10 Mbit/s: followers learnt 2.5 s late of servers
     * that leave.
     */
    @Test
    void of_linksDiffer_feedersAreTheWidest() {
        List<Member> fleet = fleet(79);

        assertThat(Feeders.of(fleet, "entry-0", "dc-0").stream().map(Member::name))
                .containsExactly("entry-30", "entry-33");
    }

    @Test
    void of_dataCentreWithoutMembers_isEmpty() {
        assertThat(Feeders.of(fleet(30), "entry-x", "dc-9")).isEmpty();
    }
}
