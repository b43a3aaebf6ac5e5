package org.geraniumusher.operator;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Map;

/** Guards against daemons of different releases that cannot read each other's states. */
final class MemberStatusTest {
    private static MemberStatus withQuarantines(Map<String, Long> quarantines) {
        return create(quarantines, List.of());
    }

    private static MemberStatus create(Map<String, Long> quarantines, List<ServerStatus> servers) {
        return create(quarantines, servers, Map.of());
    }

    private static MemberStatus create(
            Map<String, Long> quarantines, List<ServerStatus> servers, Map<String, Long> ages) {
        return new MemberStatus(
                "d",
                1,
                MemberStatus.State.ALIVE,
                "z",
                3,
                List.of(),
                quarantines,
                Map.of("keyed", 7L),
                List.of(),
                servers,
                ages);
    }

    /** A release without the field rejects it and would show the daemon as suspect. */
    @Test
    void json_noQuarantines_fieldIsLeftOutAndReadAsNone() {
        MemberStatus member = withQuarantines(Map.of());

        String json = Json.write(member);

        assertThat(json).doesNotContain("quarantines");
        assertThat(Json.read(json, MemberStatus.class)).isEqualTo(member);
    }

    /** A release without the field rejects it and would show the daemon as suspect. */
    @Test
    void json_noServers_fieldIsLeftOutAndReadAsNone() {
        MemberStatus member = withQuarantines(Map.of());

        String json = Json.write(member);

        assertThat(json).doesNotContain("servers");
        assertThat(Json.read(json, MemberStatus.class)).isEqualTo(member);
    }

    /** A release without the field rejects it and would show the daemon as suspect. */
    @Test
    void json_noAges_fieldIsLeftOutAndReadAsNone() {
        MemberStatus member = withQuarantines(Map.of());

        String json = Json.write(member);

        assertThat(json).doesNotContain("copyAges");
        assertThat(Json.read(json, MemberStatus.class)).isEqualTo(member);
    }

    @Test
    void json_ages_areReadBack() {
        MemberStatus member = create(Map.of(), List.of(), Map.of("configuration", 12L));

        assertThat(Json.read(Json.write(member), MemberStatus.class)).isEqualTo(member);
    }

    @Test
    void json_servers_areReadBack() {
        MemberStatus member =
                create(
                        Map.of(),
                        List.of(
                                new ServerStatus(
                                        "s@1",
                                        "keyed",
                                        Leaving.ENTRY,
                                        "",
                                        0,
                                        ServerStatus.NO_LIMIT)));

        assertThat(Json.read(Json.write(member), MemberStatus.class)).isEqualTo(member);
    }

    @Test
    void json_quarantines_areReadBack() {
        MemberStatus member = withQuarantines(Map.of("a".repeat(32), 8L));

        assertThat(Json.read(Json.write(member), MemberStatus.class)).isEqualTo(member);
    }
}
