package org.geraniumusher.operator;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableMap;
import com.google.common.flogger.FluentLogger;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.Responder;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.ResultCode;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Serves the operator port. Handlers run on the event loop and answer from snapshots or with a
 * future; none blocks. Thread-safe.
 */
public final class OperatorServer implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final ImmutableMap<String, Function<HttpCall, CompletableFuture<HttpReply>>> mHandlers;
    private final String mName;
    private final Runnable mStartDrain;
    private final HttpServer mServer;

    private OperatorServer(Builder builder, EventLoopGroup group, String host, int port) {
        StateEndpoint state = new StateEndpoint(builder.mName, builder.mView);
        ObjectEndpoint objects = new ObjectEndpoint(builder.mView, builder.mWriter);
        MetricRegistry metrics = builder.mMetrics;
        mName = builder.mName;
        mStartDrain = builder.mStartDrain;
        mHandlers =
                ImmutableMap.<String, Function<HttpCall, CompletableFuture<HttpReply>>>builder()
                        .put("/healthz", get(state::health))
                        .put("/readyz", get(state::ready))
                        .put("/metrics", get(call -> HttpReply.of(200, MetricText.of(metrics))))
                        .put("/admin/objects", objects::handle)
                        .put("/admin/owner", get(state::owner))
                        .put("/admin/daemons", get(state::daemons))
                        .put("/admin/assignments", get(state::assignments))
                        .put("/admin/burn", state::burn)
                        .put("/admin/in-force", get(state::inForce))
                        .put("/admin/drain-self", only("POST", this::drainSelf))
                        .buildOrThrow();
        mServer = HttpServer.bind(group, host, port, this::handle);
    }

    /** Returns a builder; every value is required. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the bound address. */
    public Address address() {
        return mServer.address();
    }

    /** Stops listening; open connections stay. */
    @Override
    public void close() {
        mServer.close();
    }

    private void handle(HttpCall call, Responder responder) {
        answer(call)
                .whenComplete(
                        (reply, error) -> {
                            if (error != null) {
                                LOG.atSevere().atMostEvery(10, TimeUnit.SECONDS).withCause(error)
                                        .log(
                                                "operator: no answer method=%s path=%s",
                                                call.method(), call.path());
                            }
                            responder.reply(error == null ? reply : HttpReply.of(500, ""));
                        });
    }

    private CompletableFuture<HttpReply> answer(HttpCall call) {
        try {
            var handler = mHandlers.get(call.path());
            return handler == null ? done(noSuchPath(call)) : handler.apply(call);
        } catch (IllegalArgumentException e) {
            return done(JsonReply.error(ResultCode.BAD_REQUEST, e.getMessage()));
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private HttpReply drainSelf(HttpCall call) {
        LOG.atInfo().log("operator: graceful stop requested daemon=%s", mName);
        mStartDrain.run();
        return JsonReply.of(202, new Replies.Draining(mName));
    }

    private static HttpReply noSuchPath(HttpCall call) {
        return JsonReply.error(ResultCode.NOT_FOUND, "no such path: " + call.path());
    }

    private static Function<HttpCall, CompletableFuture<HttpReply>> get(
            Function<HttpCall, HttpReply> handler) {
        return only("GET", handler);
    }

    private static Function<HttpCall, CompletableFuture<HttpReply>> only(
            String method, Function<HttpCall, HttpReply> handler) {
        return call ->
                done(
                        call.method().equals(method)
                                ? handler.apply(call)
                                : JsonReply.error(
                                        ResultCode.BAD_REQUEST,
                                        "bad method: " + call.method() + ", use " + method));
    }

    private static CompletableFuture<HttpReply> done(HttpReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    /** Builds a server. Not thread-safe. */
    public static final class Builder {
        private String mName;
        private DaemonView mView;
        private ObjectWriter mWriter;
        private MetricRegistry mMetrics;
        private Runnable mStartDrain;

        private Builder() {}

        /** Sets the name of this daemon. */
        public Builder name(String name) {
            mName = checkNotNull(name);
            return this;
        }

        /** Sets the state of this daemon. */
        public Builder view(DaemonView view) {
            mView = checkNotNull(view);
            return this;
        }

        /** Sets the way to the store. */
        public Builder writer(ObjectWriter writer) {
            mWriter = checkNotNull(writer);
            return this;
        }

        /** Sets the metrics that are shown. */
        public Builder metrics(MetricRegistry metrics) {
            mMetrics = checkNotNull(metrics);
            return this;
        }

        /** Sets what starts the graceful stop; it runs on an event loop and must not block. */
        public Builder startDrain(Runnable startDrain) {
            mStartDrain = checkNotNull(startDrain);
            return this;
        }

        /** Binds a host and a port, where 0 means any free port; throws when it cannot. */
        public OperatorServer bind(EventLoopGroup group, String host, int port) {
            checkNotNull(mName, "name");
            checkNotNull(mView, "view");
            checkNotNull(mWriter, "writer");
            checkNotNull(mMetrics, "metrics");
            checkNotNull(mStartDrain, "startDrain");
            return new OperatorServer(this, group, host, port);
        }
    }
}
