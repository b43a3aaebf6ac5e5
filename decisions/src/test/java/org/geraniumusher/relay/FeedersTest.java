package org.geraniumusher.relay;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.model.Address;
import org.geraniumusher.relay.Feeders.Member;
import org.junit.jupiter.api.Test;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/** Guards against store calls that grow with the fleet, and a single feeder for all followers. */
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

    private static long countFeeders(List<Member> fleet) {
        return fleet.stream()
                .filter(m -> Feeders.isFeeder(fleet, m.name(), m.dataCentre()))
                .count();
    }

    @Test
    void isFeeder_smallFleet_trueForEveryDaemon() {
        assertThat(countFeeders(fleet(11))).isEqualTo(11);
    }

    @Test
    void isFeeder_largeFleets_numberIsConstant() {
        assertThat(countFeeders(fleet(79))).isEqualTo(6);
        assertThat(countFeeders(fleet(2_800))).isEqualTo(6);
    }

    @Test
    void feedersFor_allDaemons_areInOwnDataCentreAndShareFollowers() {
        List<Member> fleet = fleet(90);
        Map<String, Integer> followerCounts = new HashMap<>();
        for (Member member : fleet) {
            List<Member> feeders = Feeders.feedersFor(fleet, member.name(), member.dataCentre());
            assertThat(feeders).hasSize(2);
            assertThat(feeders.get(0).dataCentre()).isEqualTo(member.dataCentre());
            followerCounts.merge(feeders.get(0).name(), 1, Integer::sum);
        }
        assertThat(followerCounts).hasSize(6);
    }

    /**
     * Load pattern: all servers of a data centre start again, and each change goes to 24 followers.
     * In the run vtgw-gate-grown trouble-1, feeders with links of 10 Mbit/s delayed the news of
     * servers that shut down by 2.5 s.
     */
    @Test
    void feedersFor_linksDiffer_areThoseWithTheMostBandwidth() {
        List<Member> fleet = fleet(79);

        assertThat(Feeders.feedersFor(fleet, "entry-0", "dc-0").stream().map(Member::name))
                .containsExactly("entry-30", "entry-33");
    }

    private static List<String> copyReceivers(
            List<Member> fleet, String name, String dataCentre, boolean isCoordinator) {
        return Feeders.copyReceivers(fleet, name, dataCentre, isCoordinator).stream()
                .map(Member::name)
                .toList();
    }

    @Test
    void copyReceivers_smallFleet_coordinatorTellsAllOthersAndNobodyElseTells() {
        List<Member> fleet = fleet(4);

        assertThat(copyReceivers(fleet, "entry-1", "dc-1", true))
                .containsExactly("entry-0", "entry-2", "entry-3");
        assertThat(copyReceivers(fleet, "entry-0", "dc-0", false)).isEmpty();
    }

    /** The number of daemons that the coordinator tells must not grow with the fleet. */
    @Test
    void copyReceivers_largeFleet_eachDaemonIsToldByFeedersOrIsOne() {
        List<Member> fleet = fleet(90);
        Set<String> told = new HashSet<>(copyReceivers(fleet, "entry-0", "dc-0", true));
        assertThat(told).hasSize(6);

        for (Member member : fleet) {
            List<String> receivers =
                    copyReceivers(fleet, member.name(), member.dataCentre(), false);
            assertThat(receivers).hasSize(told.contains(member.name()) ? 28 : 0);
            if (receivers.contains("entry-0")) {
                assertThat(member.dataCentre()).isEqualTo("dc-0");
            }
        }
    }

    /** A coordinator that is a feeder is also one of its own data centre. */
    @Test
    void copyReceivers_coordinatorIsFeeder_tellsOtherFeedersAndItsFollowers() {
        assertThat(copyReceivers(fleet(90), "entry-30", "dc-0", true)).hasSize(5 + 28);
    }

    @Test
    void feedersFor_dataCentreWithoutMembers_isEmpty() {
        assertThat(Feeders.feedersFor(fleet(30), "entry-x", "dc-9")).isEmpty();
    }
}
