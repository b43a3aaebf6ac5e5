package org.geraniumusher.caller;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.geraniumusher.admission.GateLoad;
import org.geraniumusher.http.HeaderNames;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Route;
import org.geraniumusher.routing.Dispatch;
import org.geraniumusher.routing.GatewayReport;
import org.junit.jupiter.api.Test;

/** Tests the header fields that daemons write for each other and for backend servers. */
class ResponseRelayTest {
    private static final GateLoad LOAD = new GateLoad(3, 12, 6, 6_000_000);

    /** Guards against a report that the receiving daemon cannot read and ignores. */
    @Test
    void takeReport_writtenByGateway_isRead() {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);

        ResponseRelay.addReport(response, dispatch(1), 7_000_000);

        assertThat(ResponseRelay.takeReport(response)).hasValue(new GatewayReport(LOAD, 7_000_000));
        assertThat(response.headers()).isEmpty();
    }

    /** Guards against a hash that loses its leading zeros or its sign on the wire. */
    @Test
    void prepareRequest_hash_hasSixteenDigits() {
        assertThat(hashHeader(0x1fL)).isEqualTo("000000000000001f");
        assertThat(hashHeader(-1L)).isEqualTo("ffffffffffffffff");
    }

    private static String hashHeader(long hash) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        ResponseRelay.prepareRequest(request, dispatch(hash), 1, 1_000);
        return request.headers().get(HeaderNames.HASH);
    }

    private static Dispatch dispatch(long hash) {
        return new Dispatch(
                "server-1",
                new Dispatch.Direct(new Address("127.0.0.1", 1), LOAD),
                "service",
                true,
                hash,
                1,
                true,
                Route.Priority.READ,
                0);
    }
}
