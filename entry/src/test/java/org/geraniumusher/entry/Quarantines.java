package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.quarantine.Quarantine;
import org.geraniumusher.quarantine.RequestFingerprint;

/** Creates and stores quarantines for tests. */
final class Quarantines {
    static final long DURATION_MILLIS = 60_000;

    private Quarantines() {}

    /** Writes a quarantine to the store as the coordinator does. */
    static void put(FakeStore store, Quarantine quarantine) {
        store.put(
                StoreKind.QUARANTINES,
                quarantine.fingerprint().hex(),
                QuarantineCodec.encode(quarantine));
    }

    /** Returns a quarantine of a request whose fingerprint repeats one digit. */
    static Quarantine create(String digit, Quarantine.State state, long sinceMillis) {
        return new Quarantine(
                new RequestFingerprint(digit.repeat(32)),
                state,
                "keyed",
                "GET shop/key/x",
                ImmutableList.of("k0@1", "k1@1"),
                sinceMillis,
                DURATION_MILLIS);
    }
}
