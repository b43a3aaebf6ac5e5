package org.geraniumusher.model;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Guards against a closing data centre that stays in service, and versions that go back. */
class ConfigurationTest {
    private static final Service CATALOGUE =
            new Service("catalogue", null, Selector.of("app=catalogue"), true, null);
    private static final Configuration CONFIGURATION =
            Configuration.of()
                    .with(1, new DataCentre("nadi-b", "viti-west", Labels.of()))
                    .with(
                            2,
                            BackendServer.of(
                                    "c1",
                                    Address.of("127.0.0.1:9001"),
                                    "nadi-b",
                                    Labels.of("app", "catalogue")));

    @Test
    void serversOf_dataCentreNotServing_leavesServerOut() {
        assertThat(CONFIGURATION.serversOf(CATALOGUE)).hasSize(1);
        Configuration drained =
                CONFIGURATION.with(
                        3, new DataCentre("nadi-b", "viti-west", Labels.of("serving", "false")));
        assertThat(drained.serversOf(CATALOGUE)).isEmpty();
    }

    /** Guards against a list of all services that differs from the list of one service. */
    @Test
    void serversByService_equalsServersOfEachService() {
        Service other = new Service("other", null, Selector.of("region=viti-west"), false, null);
        BackendServer stopped =
                BackendServer.of(
                        "c2",
                        Address.of("127.0.0.1:9002"),
                        "nadi-b",
                        Labels.of("app", "catalogue").with("serving", "false"));
        Configuration both = CONFIGURATION.with(3, CATALOGUE).with(4, other).with(5, stopped);

        assertThat(both.serversByService().get("other")).isEqualTo(both.serversOf(other));
        assertThat(both.serversByService().get("catalogue")).isEqualTo(both.serversOf(CATALOGUE));
        assertThat(both.serversOf(other)).hasSize(1);
        Configuration drained =
                both.with(6, new DataCentre("nadi-b", "viti-west", Labels.of("serving", "false")));
        assertThat(drained.serversByService()).isEmpty();
    }

    @Test
    void with_olderVersion_refused() {
        assertThrows(IllegalArgumentException.class, () -> CONFIGURATION.with(2, CATALOGUE));
    }
}
