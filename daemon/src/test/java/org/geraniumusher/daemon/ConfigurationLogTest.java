package org.geraniumusher.daemon;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Labels;
import org.junit.jupiter.api.Test;

/** Guards against a log that hides which change took servers out of service. */
class ConfigurationLogTest {
    private static final Configuration BEFORE =
            Configuration.of().with(1, dataCentre(Labels.of())).with(2, server());

    @Test
    void lines_dataCentreDrainedAndReturned_nameServersAndReason() {
        Configuration drained = BEFORE.with(3, dataCentre(Labels.of("serving", "false")));

        assertThat(ConfigurationLog.lines(BEFORE, drained))
                .containsExactly(
                        "config: in force. version=3 changed=data-centre/nadi-b",
                        "config: servers out of service. count=1 servers=bs-1"
                                + " reason=label serving=false on data-centre/nadi-b");
        assertThat(ConfigurationLog.lines(drained, BEFORE.atVersion(4)).get(1))
                .contains("servers returned to service. count=1 servers=bs-1 reason=label removed");
    }

    @Test
    void lines_changeArrivesTwice_areNotRepeated() {
        assertThat(ConfigurationLog.lines(BEFORE, BEFORE.atVersion(9))).isEmpty();
    }

    private static DataCentre dataCentre(Labels labels) {
        return new DataCentre("nadi-b", "viti-west", labels);
    }

    private static BackendServer server() {
        return new BackendServer(
                "bs-1", new Address("127.0.0.1", 9), "nadi-b", Labels.of(), 6, 2, 1, true);
    }
}
