package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.geraniumusher.entry.ResponseMatcher.Match;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses that are taken for that to a request to which they may not belong. */
final class ResponseMatcherTest {
    private static final HeaderNames HEADERS = new FakeWireFormat().headers();

    private final ResponseMatcher mMatcher = new ResponseMatcher(HEADERS);

    @BeforeEach
    void send() {
        mMatcher.onRequest("q");
    }

    private static HttpResponse response(int status, String... ids) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        for (String id : ids) {
            response.headers().add(HEADERS.requestId(), id);
        }
        return response;
    }

    private static HttpResponse refusalWithoutId() {
        HttpResponse refusal = response(503);
        refusal.headers().set(HEADERS.notExecuted(), "1");
        return refusal;
    }

    @Test
    void match_oneId_isOwnOrOther() {
        assertThat(mMatcher.match(response(200, "q"))).isEqualTo(Match.OWN);
        assertThat(mMatcher.match(response(200, "r"))).isEqualTo(Match.OTHER);
        assertThat(mMatcher.match(response(500, "q"))).isEqualTo(Match.OWN);
    }

    @Test
    void match_sameIdTwice_isOwn() {
        assertThat(mMatcher.match(response(200, "q", "q"))).isEqualTo(Match.OWN);
    }

    @Test
    void match_differentIds_isAmbiguous() {
        assertThat(mMatcher.match(response(200, "q", "r"))).isEqualTo(Match.SEVERAL_IDS);
        assertThat(mMatcher.match(response(200, "r", "q"))).isEqualTo(Match.SEVERAL_IDS);
    }

    @Test
    void match_failureWithoutId_isAmbiguous() {
        assertThat(mMatcher.match(response(500))).isEqualTo(Match.FAILURE_WITHOUT_ID);
        assertThat(mMatcher.match(response(500, ""))).isEqualTo(Match.FAILURE_WITHOUT_ID);
    }

    @Test
    void match_successWithoutId_onlySameStatusIsOwnAfterIt() {
        assertThat(mMatcher.match(response(200))).isEqualTo(Match.OTHER);

        assertThat(mMatcher.match(response(200, "q"))).isEqualTo(Match.OWN);
        assertThat(mMatcher.match(response(500, "q"))).isEqualTo(Match.CONTRADICTION);
    }

    @Test
    void match_refusalWithoutId_anyStatusIsOwnAfterIt() {
        assertThat(mMatcher.match(refusalWithoutId())).isEqualTo(Match.OTHER);

        assertThat(mMatcher.match(response(200, "q"))).isEqualTo(Match.OWN);
    }

    /** What came to one request says nothing of the next one. */
    @Test
    void onRequest_afterResponseWithoutId_startsAnew() {
        mMatcher.match(response(200));

        mMatcher.onRequest("r");

        assertThat(mMatcher.match(response(500, "r"))).isEqualTo(Match.OWN);
    }

    @Test
    void ambiguity_onlyOfThoseThatEndTheAttempt() {
        for (Match match : Match.values()) {
            boolean isUsable = match == Match.OWN || match == Match.OTHER;
            assertThat(match.ambiguity().isEmpty()).isEqualTo(isUsable);
        }
    }
}
