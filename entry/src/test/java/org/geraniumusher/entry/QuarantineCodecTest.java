package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.geraniumusher.quarantine.Quarantine;
import org.junit.jupiter.api.Test;

/** Guards against daemons that read a quarantine otherwise than the coordinator wrote it. */
final class QuarantineCodecTest {
    private static Quarantine decode(String name, ObjectNode spec) {
        return QuarantineCodec.decode(new StoreObject(name, 1, spec, spec));
    }

    @Test
    void decode_encodedQuarantine_isEqual() {
        for (Quarantine.State state : Quarantine.State.values()) {
            Quarantine quarantine = Quarantines.create("a", state, 1_700_000_000_000L);

            assertThat(decode(quarantine.fingerprint().hex(), QuarantineCodec.encode(quarantine)))
                    .isEqualTo(quarantine);
        }
    }

    /** An object of a later release or of another writer must not be taken for a rejection. */
    @Test
    void decode_unusableObject_isRejectedWithReason() {
        ObjectNode spec =
                QuarantineCodec.encode(Quarantines.create("a", Quarantine.State.REJECTED, 0));

        assertRejected("a".repeat(31), spec, "not 32 hexadecimal digits");
        assertRejected("A".repeat(32), spec, "not 32 hexadecimal digits");
        assertRejected("a".repeat(32), spec.deepCopy().put("state", "PAUSED"), "PAUSED");
        assertRejected("a".repeat(32), spec.deepCopy().put("state", 1), "no text field");
        assertRejected("a".repeat(32), JsonNodeFactory.instance.objectNode(), "no text field");
    }

    private static void assertRejected(String name, ObjectNode spec, String reason) {
        IllegalArgumentException error =
                assertThrows(IllegalArgumentException.class, () -> decode(name, spec));
        assertThat(error).hasMessageThat().contains(reason);
    }
}
