package org.geraniumusher.operator;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.Responder;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;
import org.geraniumusher.platform.WatchEvent;
import org.geraniumusher.platform.WriteResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Guards against a lost answer of the store that is reported as a failure although the write took
 * effect, or as a success although another operator's write did.
 */
class StoreObjectWriterTest {
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mStore = HttpServer.bind(mGroup, "127.0.0.1", 0, this::answer);
    private final List<WatchEvent> mAccepted = new CopyOnWriteArrayList<>();
    private final StoreObjectWriter mWriter =
            StoreObjectWriter.create(
                    ObjectApi.create(HttpClient.create(mGroup), mStore.address()), mAccepted::add);
    private volatile StoredObject mCurrent;

    @AfterEach
    void close() {
        mStore.close();
        mGroup.shutdownGracefully();
    }

    @Test
    void put_answerLostAndWritten_isWrittenAndPassedOn() {
        mCurrent = object(8, "maria", "west");

        assertThat(mWriter.put(object(5, "maria", "west")).join())
                .isEqualTo(new WriteResult.Written(8));
        assertThat(mAccepted).hasSize(1);
        assertThat(mAccepted.get(0).version()).isEqualTo(8);
    }

    @Test
    void put_answerLostAndOtherWroteMeanwhile_isConflict() {
        mCurrent = object(8, "tomasi", "east");

        assertThat(mWriter.put(object(5, "maria", "west")).join())
                .isInstanceOf(WriteResult.Conflict.class);
        assertThat(mAccepted).isEmpty();
    }

    @Test
    void put_answerLostAndNothingChanged_staysUnknown() {
        mCurrent = object(5, "maria", "west");
        assertThat(mWriter.put(object(5, "maria", "west")).join())
                .isInstanceOf(WriteResult.Unknown.class);
    }

    private void answer(HttpCall call, Responder responder) {
        responder.reply(
                call.method().equals("PUT")
                        ? HttpReply.of(502, "")
                        : HttpReply.of(
                                200,
                                Json.write(new ReadResult.Found(9, ImmutableList.of(mCurrent)))));
    }

    private static StoredObject object(long version, String writer, String region) {
        return new StoredObject(
                "data-centre",
                "nadi-b",
                version,
                writer,
                Json.readTree("{\"region\":\"" + region + "\"}"));
    }
}
