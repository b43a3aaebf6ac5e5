package org.geraniumusher.standin;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.platform.Json;
import org.geraniumusher.standin.backend.BackendBehaviour;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Guards against requests that run twice, answers that reach the wrong caller, bodies that are cut,
 * heads that arrive in parts, and requests that two parsers would split differently.
 */
class RequestPathTest {
    private static TestFleet sFleet;

    @BeforeAll
    static void start() {
        sFleet = TestFleet.start(1, 3);
    }

    @AfterAll
    static void stop() {
        sFleet.close();
    }

    @Test
    void post_connectionLostAfterSending_runsOnceAndSaysUnknown() {
        sFleet.backendNames().forEach(RequestPathTest::loseEveryAnswer);
        long before = sFleet.executed();
        HttpReply reply = sFleet.call(0, HttpCall.of("POST", "/ledger/order", "{}"));
        sFleet.backendNames().forEach(RequestPathTest::behaveWell);
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.headers()).containsEntry("geraniumusher-outcome", "unknown");
        assertThat(sFleet.executed() - before).isEqualTo(1);
    }

    @Test
    void post_largeBody_arrivesWhole() {
        String body = "x".repeat(1_500_000);
        HttpReply reply = sFleet.call(0, HttpCall.of("POST", "/clefts/large", body));
        assertThat(reply.status()).isEqualTo(200);
        assertThat(Json.readTree(reply.text()).get("bodyBytes").asInt()).isEqualTo(1_500_000);
    }

    @Test
    void get_pipelined_answersInOrder() throws IOException {
        String answer =
                exchange(
                        "GET /clefts/one HTTP/1.1\r\nHost: a\r\n\r\n"
                                + "GET /ledger/two HTTP/1.1\r\nHost: a\r\n"
                                + "Connection: close\r\n\r\n");
        int first = answer.indexOf("/clefts/one");
        assertThat(first).isAtLeast(0);
        assertThat(answer.indexOf("/ledger/two")).isGreaterThan(first);
    }

    @Test
    void get_headLargerThanReadBuffer_isAnswered() throws IOException {
        String answer =
                exchange(
                        "GET /clefts/one HTTP/1.1\r\nHost: a\r\nx-long: "
                                + "x".repeat(5_000)
                                + "\r\nConnection: close\r\n\r\n");
        assertThat(answer).startsWith("HTTP/1.1 200");
    }

    @Test
    void head_hasNoBody() throws IOException {
        String answer =
                exchange("HEAD /clefts/one HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        assertThat(answer).startsWith("HTTP/1.1 200");
        assertThat(answer).endsWith("\r\n\r\n");
    }

    @Test
    void request_lengthAndChunks_refusedAndConnectionClosed() throws IOException {
        long before = sFleet.executed();
        String answer =
                exchange(
                        "POST /ledger/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /ledger/y"
                                + " HTTP/1.1\r\nHost: a\r\n\r\n");
        assertThat(answer).startsWith("HTTP/1.1 400");
        assertThat(answer).doesNotContain("/ledger/y");
        assertThat(sFleet.executed()).isEqualTo(before);
    }

    @Test
    void request_twoLengths_refused() throws IOException {
        String answer =
                exchange(
                        "POST /ledger/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                                + "Content-Length: 5\r\n\r\nabcde");
        assertThat(answer).startsWith("HTTP/1.1 400");
    }

    @Test
    void request_badChunkSize_doesNotReachTheServer() throws IOException {
        long before = sFleet.executed();
        String answer =
                exchange(
                        "POST /ledger/x HTTP/1.1\r\nHost: a\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n");
        assertThat(answer).doesNotContain("200 OK");
        assertThat(sFleet.executed()).isEqualTo(before);
    }

    @Test
    void request_ownHeadersFromCaller_areNotTrusted() throws IOException {
        String answer =
                exchange(
                        "GET /clefts/one HTTP/1.1\r\nHost: a\r\ngeraniumusher-epoch: 999\r\n"
                                + "geraniumusher-server: other\r\nConnection: close\r\n\r\n");
        assertThat(answer).startsWith("HTTP/1.1 200");
    }

    @Test
    void request_noRoute_saysNotRun() {
        HttpReply reply = sFleet.call(0, HttpCall.of("GET", "/nowhere"));
        assertThat(reply.status()).isEqualTo(404);
        assertThat(reply.headers()).containsEntry("geraniumusher-outcome", "not-run");
        assertThat(reply.headers()).containsEntry("geraniumusher-result", "101");
    }

    private static void loseEveryAnswer(String name) {
        sFleet.backend(name).setBehaviour(BackendBehaviour.ofDefaults().withDropEvery(1));
    }

    private static void behaveWell(String name) {
        sFleet.backend(name).setBehaviour(BackendBehaviour.ofDefaults().withServiceMicros(1_000));
    }

    private static String exchange(String request) throws IOException {
        Address address = sFleet.callerAddress(0);
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
