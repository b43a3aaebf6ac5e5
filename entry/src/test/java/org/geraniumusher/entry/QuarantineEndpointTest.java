package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.ErrorReply;
import org.geraniumusher.operator.Json;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.quarantine.Quarantine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.concurrent.CompletableFuture;

/**
 * Guards against a release that reports success although the quarantine lasts, or that takes back a
 * quarantine which the operator has not seen.
 */
final class QuarantineEndpointTest {
    private static final long SINCE_MILLIS = 1_700_000_000_000L;
    private static final Quarantine REJECTED =
            Quarantines.create("a", Quarantine.State.REJECTED, SINCE_MILLIS);
    private static final String REQUEST = REJECTED.fingerprint().hex();

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeStore mStore = mFixture.store();
    private final DaemonContext mContext = mFixture.createContext("d");
    private long mNowMillis = SINCE_MILLIS;
    private final QuarantineEndpoint mEndpoint = new QuarantineEndpoint(mContext, () -> mNowMillis);

    @AfterEach
    void close() {
        mFixture.close();
    }

    private CompletableFuture<HttpReply> release() {
        return mEndpoint.release(HttpCall.of("DELETE", "/admin/quarantines?request=" + REQUEST));
    }

    private static void assertFailed(CompletableFuture<HttpReply> reply, ResultCode code) {
        assertThat(reply.join().status()).isEqualTo(code.httpStatus());
        assertThat(Json.read(reply.join().text(), ErrorReply.class).toResultCode()).hasValue(code);
    }

    private Replies.QuarantineRow onlyRow() {
        Replies.Quarantines reply = Json.read(mEndpoint.list().text(), Replies.Quarantines.class);
        assertThat(reply.quarantines()).hasSize(1);
        return reply.quarantines().get(0);
    }

    /** The end that is shown must be that of the state, also when the coordinator is late. */
    @Test
    void list_timePasses_showsSecondsLeftOfState() {
        Quarantines.put(mStore, REJECTED);
        mContext.directory().start();

        mNowMillis += 20_001;
        assertThat(onlyRow().secondsLeft()).isEqualTo(39);
        mNowMillis += Quarantines.DURATION_MILLIS;
        assertThat(onlyRow().secondsLeft()).isEqualTo(0);
        assertThat(onlyRow().since()).isEqualTo("2023-11-14T22:13:20Z");
        assertThat(onlyRow().crashes()).isEqualTo(2);
    }

    @Test
    void release_quarantineExists_isRemovedFromStore() {
        Quarantines.put(mStore, REJECTED);

        HttpReply reply = release().join();

        assertThat(reply.status()).isEqualTo(200);
        assertThat(Json.read(reply.text(), Replies.QuarantineEnded.class).request())
                .isEqualTo(REQUEST);
        assertThat(mStore.spec(StoreKind.QUARANTINES, REQUEST).isMissingNode()).isTrue();
        assertFailed(release(), ResultCode.NOT_FOUND);
    }

    /** A quarantine that was written after the operator's look must not be lost. */
    @Test
    void release_changedConcurrently_isConflictAndStays() {
        Quarantines.put(mStore, REJECTED);
        mStore.holdAnswers();
        CompletableFuture<HttpReply> reply = release();

        Quarantines.put(
                mStore, Quarantines.create("a", Quarantine.State.PROBATION, SINCE_MILLIS + 1));
        mStore.releaseAnswers();

        assertFailed(reply, ResultCode.CONFLICT);
        assertThat(mStore.spec(StoreKind.QUARANTINES, REQUEST).isMissingNode()).isFalse();
    }

    /** A store that gives no answer must not be taken for one without the quarantine. */
    @Test
    void release_storeDoesNotAnswer_isUnavailable() {
        Quarantines.put(mStore, REJECTED);
        mStore.holdAnswers();
        CompletableFuture<HttpReply> removalUnanswered = release();
        mStore.setDown(true);
        mStore.releaseAnswers();

        assertFailed(removalUnanswered, ResultCode.PLATFORM_UNAVAILABLE);
        assertFailed(release(), ResultCode.PLATFORM_UNAVAILABLE);
    }
}
