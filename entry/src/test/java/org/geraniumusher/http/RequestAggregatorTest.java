package org.geraniumusher.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpContentException;

import org.geraniumusher.traffic.BodyBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

/** Guards the memory of the bodies of requests, and the requests that follow a rejected one. */
final class RequestAggregatorTest {
    private static final int MAX_BODY_BYTES = 1_000;
    private static final String NEXT = "GET /next HTTP/1.1\r\n\r\n";

    private final BodyBudget mBudget = new BodyBudget(3_000);
    private final EmbeddedChannel mChannel = createChannel(MAX_BODY_BYTES);

    private EmbeddedChannel createChannel(int maxBodyBytes) {
        return createChannel(() -> maxBodyBytes);
    }

    private EmbeddedChannel createChannel(IntSupplier maxBodyBytes) {
        return new EmbeddedChannel(
                new StrictRequestDecoder(4_096, 4_096),
                new RequestAggregator(maxBodyBytes, mBudget));
    }

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
        assertThat(mBudget.reservedBytes()).isEqualTo(0);
    }

    private static void receive(EmbeddedChannel channel, String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    }

    private static String post(int length, String fields) {
        return "POST /x HTTP/1.1\r\nContent-Length: " + length + "\r\n" + fields + "\r\n";
    }

    private static String chunk(int length) {
        return Integer.toHexString(length) + "\r\n" + "c".repeat(length) + "\r\n";
    }

    private static final String CHUNKED_HEAD =
            "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static Throwable failure(FullHttpRequest request) {
        return request.decoderResult().cause();
    }

    /** The memory of a body must count until the last reference to it is released. */
    @Test
    void body_ofKnownLength_isReservedFromTheHeadToTheRelease() {
        receive(mChannel, post(900, ""));
        assertThat(mBudget.reservedBytes()).isEqualTo(900);
        assertThat(mChannel.inboundMessages()).isEmpty();

        receive(mChannel, "b".repeat(900));

        FullHttpRequest request = mChannel.readInbound();
        ByteBuf forwarded = request.content().retainedDuplicate();
        assertThat(forwarded.toString(StandardCharsets.US_ASCII)).isEqualTo("b".repeat(900));
        assertThat(forwarded.isDirect()).isFalse();
        request.release();
        assertThat(mBudget.reservedBytes()).isEqualTo(900);
        forwarded.release();
        assertThat(mBudget.reservedBytes()).isEqualTo(0);
    }

    /** A body in chunks must arrive whole, with its length, in memory of just its size. */
    @Test
    void body_inChunks_isWholeAndTakesItsSize() {
        receive(mChannel, CHUNKED_HEAD + chunk(300) + chunk(3) + "0\r\n\r\n" + NEXT);

        FullHttpRequest request = mChannel.readInbound();
        assertThat(request.content().toString(StandardCharsets.US_ASCII))
                .isEqualTo("c".repeat(303));
        assertThat(request.headers().get("content-length")).isEqualTo("303");
        assertThat(request.headers().contains("transfer-encoding")).isFalse();
        assertThat(mBudget.reservedBytes()).isEqualTo(303);
        request.release();
        FullHttpRequest next = mChannel.readInbound();
        assertThat(next.uri()).isEqualTo("/next");
        next.release();
    }

    /** A body without room must be rejected before it is read, and not be taken for a request. */
    @Test
    void body_hasNoRoom_isRejectedAtOnceAndNextRequestIsRead() {
        assertThat(mBudget.tryReserve(2_500)).isTrue();

        receive(mChannel, post(600, ""));

        FullHttpRequest rejected = mChannel.readInbound();
        assertThat(failure(rejected)).isInstanceOf(BodyRejectedException.class);
        receive(mChannel, "b".repeat(600) + NEXT);
        FullHttpRequest next = mChannel.readInbound();
        assertThat(next.uri()).isEqualTo("/next");
        assertThat(next.decoderResult().isSuccess()).isTrue();
        mBudget.release(2_500);
    }

    /** A body of unknown length must be rejected once it outgrows the room, and only once. */
    @Test
    void chunks_outgrowTheRoom_areRejectedOnceAndMemoryIsFree() {
        EmbeddedChannel channel = createChannel(1 << 20);

        receive(channel, CHUNKED_HEAD + chunk(2_000));
        assertThat(mBudget.reservedBytes()).isEqualTo(2_000);
        receive(channel, chunk(2_000) + chunk(100) + "0\r\n\r\n" + NEXT);

        FullHttpRequest rejected = channel.readInbound();
        assertThat(failure(rejected)).isInstanceOf(BodyRejectedException.class);
        assertThat(mBudget.reservedBytes()).isEqualTo(0);
        FullHttpRequest next = channel.readInbound();
        assertThat(next.uri()).isEqualTo("/next");
        channel.finishAndReleaseAll();
    }

    /** Bodies over the limit of the configuration must stay apart from those without room. */
    @Test
    void body_isTooLong_isRejectedAsSuch() {
        receive(mChannel, post(MAX_BODY_BYTES + 1, ""));
        FullHttpRequest known = mChannel.readInbound();
        assertThat(failure(known)).isInstanceOf(TooLongHttpContentException.class);

        EmbeddedChannel channel = createChannel(MAX_BODY_BYTES);
        receive(channel, CHUNKED_HEAD + chunk(MAX_BODY_BYTES) + chunk(1));
        FullHttpRequest unknown = channel.readInbound();
        assertThat(failure(unknown)).isInstanceOf(TooLongHttpContentException.class);
        channel.finishAndReleaseAll();
    }

    /** A caller must be told to go on only if its body has room. */
    @Test
    void expectation_isAnsweredOnlyIfBodyHasRoom() {
        receive(mChannel, post(1_000, "Expect: 100-continue\r\n"));
        HttpResponse response = mChannel.readOutbound();
        assertThat(response.status()).isEqualTo(HttpResponseStatus.CONTINUE);

        assertThat(mBudget.tryReserve(1_500)).isTrue();
        EmbeddedChannel channel = createChannel(MAX_BODY_BYTES);
        receive(channel, post(1_000, "Expect: 100-continue\r\n"));
        assertThat(channel.outboundMessages()).isEmpty();
        FullHttpRequest rejected = channel.readInbound();
        assertThat(failure(rejected)).isInstanceOf(BodyRejectedException.class);
        channel.finishAndReleaseAll();
        mBudget.release(1_500);
    }

    /** The memory of a body whose caller leaves must be free. */
    @Test
    void connection_closesWithinBody_memoryIsFree() {
        receive(mChannel, post(900, "") + "b".repeat(100));
        assertThat(mBudget.reservedBytes()).isEqualTo(900);

        mChannel.close();

        assertThat(mBudget.reservedBytes()).isEqualTo(0);
    }

    /** A malformed request must still be passed on, since it gets a response. */
    @Test
    void request_isMalformed_isPassedOnWithFailure() {
        receive(mChannel, "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n");
        FullHttpRequest head = mChannel.readInbound();
        assertThat(head.decoderResult().isFailure()).isTrue();

        EmbeddedChannel channel = createChannel(MAX_BODY_BYTES);
        receive(channel, CHUNKED_HEAD + chunk(3) + "zz\r\n");
        FullHttpRequest body = channel.readInbound();
        assertThat(body.decoderResult().isFailure()).isTrue();
        assertThat(channel.inboundMessages()).isEmpty();
        channel.finishAndReleaseAll();
    }

    /** An open connection kept the limit that was in force when it was opened, for good. */
    @Test
    void body_limitIsRaisedBetweenRequests_newLimitApplies() {
        AtomicInteger limit = new AtomicInteger(100);
        EmbeddedChannel channel = createChannel(limit::get);
        receive(channel, post(200, "") + "b".repeat(200));
        FullHttpRequest rejected = channel.readInbound();
        assertThat(failure(rejected)).isInstanceOf(TooLongHttpContentException.class);

        limit.set(300);
        receive(channel, post(200, "") + "b".repeat(200));

        FullHttpRequest accepted = channel.readInbound();
        assertThat(accepted.content().readableBytes()).isEqualTo(200);
        accepted.release();
        channel.finishAndReleaseAll();
    }
}
