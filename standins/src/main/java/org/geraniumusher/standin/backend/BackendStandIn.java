package org.geraniumusher.standin.backend;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.backend.BackendProtocol;
import org.geraniumusher.http.HeaderNames;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.Responder;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.ownership.Admission;
import org.geraniumusher.ownership.Grant;
import org.geraniumusher.ownership.GrantAck;
import org.geraniumusher.ownership.GrantHolder;
import org.geraniumusher.ownership.GrantReply;
import org.geraniumusher.platform.Json;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Stands in for a backend server: it holds grants, executes requests in slots with a random time,
 * and counts executions. Thread-safe.
 */
public final class BackendStandIn implements AutoCloseable {
    private final String mName;
    private final EventLoopGroup mGroup;
    private final LongSupplier mClock;
    private final HttpServer mServer;
    private final GrantHolder mGrants;
    private final SplittableRandom mRandom;
    private final Map<String, GrantAck> mLastAcks = new LinkedHashMap<>();
    private final Set<String> mExecutedIds = new HashSet<>();
    private BackendBehaviour mBehaviour;
    private Consumer<HttpCall> mObserver = call -> {};
    private long mExecuted;
    private long mRepeated;
    private long mRefusedByGrant;
    private long mRefusedByLoad;
    private int mRunning;
    private int mHighestRunning;

    private BackendStandIn(
            EventLoopGroup group,
            Address address,
            String name,
            BackendBehaviour behaviour,
            long incarnation) {
        mGroup = checkNotNull(group);
        mName = checkNotNull(name);
        mBehaviour = checkNotNull(behaviour);
        mClock = System::nanoTime;
        mGrants = GrantHolder.create(incarnation);
        mRandom = new SplittableRandom(name.hashCode());
        mServer = HttpServer.create(group, address, this::handle);
    }

    /** Starts a server; {@code incarnation} must differ between runs. */
    public static BackendStandIn start(
            EventLoopGroup group,
            Address address,
            String name,
            BackendBehaviour behaviour,
            long incarnation) {
        return new BackendStandIn(group, address, name, behaviour, incarnation);
    }

    /** Replaces the behaviour. */
    public synchronized void setBehaviour(BackendBehaviour behaviour) {
        mBehaviour = checkNotNull(behaviour);
    }

    /** Replaces the receiver of each request that runs; it is called before the request ends. */
    public synchronized void setObserver(Consumer<HttpCall> observer) {
        mObserver = checkNotNull(observer);
    }

    /** Returns what the server has counted. */
    public synchronized BackendStats stats() {
        return new BackendStats(
                mName,
                mExecuted,
                mRepeated,
                mRefusedByGrant,
                mRefusedByLoad,
                mRunning,
                mHighestRunning);
    }

    @Override
    public void close() {
        mServer.close();
    }

    private void handle(HttpCall call, Responder responder) {
        switch (call.path()) {
            case BackendProtocol.STATUS_PATH -> responder.reply(json(status()));
            case BackendProtocol.GRANT_PATH -> responder.reply(json(onGrant(call)));
            case "/geraniumusher/stats" -> responder.reply(json(stats()));
            case "/geraniumusher/behaviour" -> {
                setBehaviour(Json.read(call.text(), BackendBehaviour.class));
                responder.reply(json(stats()));
            }
            default -> execute(call, responder);
        }
    }

    private static HttpReply json(Object value) {
        return HttpReply.of(200, Json.write(value)).withHeader("content-type", "application/json");
    }

    private synchronized BackendProtocol.Status status() {
        return new BackendProtocol.Status(
                mGrants.incarnation(),
                mClock.getAsLong(),
                mRunning,
                mBehaviour.slots(),
                java.util.List.copyOf(mLastAcks.values()));
    }

    private synchronized BackendProtocol.Status onGrant(HttpCall call) {
        GrantReply reply = mGrants.onGrant(Json.read(call.text(), Grant.class));
        if (reply instanceof GrantReply.Acknowledged acknowledged) {
            mLastAcks.put(acknowledged.ack().service(), acknowledged.ack());
        }
        return status();
    }

    private void execute(HttpCall call, Responder responder) {
        String service = call.header(HeaderNames.SERVICE).orElse("");
        Optional<Long> hash =
                call.header(HeaderNames.HASH).map(text -> Long.parseUnsignedLong(text, 16));
        long epoch = Long.parseLong(call.header(HeaderNames.EPOCH).orElse("0"));
        String id = call.header(HeaderNames.REQUEST_ID).orElse("");
        long delayMicros;
        boolean drops;
        synchronized (this) {
            Optional<HttpReply> refusal = admit(service, hash, epoch);
            if (refusal.isPresent()) {
                responder.reply(refusal.get());
                return;
            }
            count(id);
            mObserver.accept(call);
            delayMicros = serviceMicros();
            drops = mBehaviour.dropEvery() > 0 && mExecuted % mBehaviour.dropEvery() == 0;
        }
        mGroup.schedule(
                () -> {
                    end(service, hash);
                    if (drops) {
                        responder.drop();
                    } else {
                        responder.reply(answer(call, service, epoch, id));
                    }
                },
                delayMicros,
                TimeUnit.MICROSECONDS);
    }

    private Optional<HttpReply> admit(String service, Optional<Long> hash, long epoch) {
        int slots =
                mExecuted < mBehaviour.warmUpRequests()
                        ? mBehaviour.coldSlots()
                        : mBehaviour.slots();
        if (mRunning >= slots) {
            mRefusedByLoad++;
            return Optional.of(refusal(503, "all slots are taken"));
        }
        if (hash.isPresent() && mBehaviour.fenced()) {
            Admission admission =
                    mGrants.onRequestStart(mClock.getAsLong(), service, hash.get(), epoch);
            if (!admission.isAdmitted()) {
                mRefusedByGrant++;
                return Optional.of(refusal(421, admission.name()));
            }
        }
        return Optional.empty();
    }

    private static HttpReply refusal(int status, String reason) {
        return HttpReply.of(status, Json.write(Map.of("reason", reason)))
                .withHeader(HeaderNames.OUTCOME, Outcome.NOT_RUN.text())
                .withHeader(
                        HeaderNames.RESULT,
                        Integer.toString(ResultCode.REFUSED_BY_SERVER.number()));
    }

    private void count(String id) {
        mExecuted++;
        mRunning++;
        mHighestRunning = Math.max(mHighestRunning, mRunning);
        if (!id.isEmpty() && !mExecutedIds.add(id)) {
            mRepeated++;
        }
    }

    private long serviceMicros() {
        long mean = mBehaviour.serviceMicros();
        long varied = mean / 2 + mRandom.nextLong(mean + 1);
        return varied * mBehaviour.slowFactor();
    }

    private synchronized void end(String service, Optional<Long> hash) {
        mRunning--;
        if (hash.isPresent() && mBehaviour.fenced()) {
            mGrants.onRequestEnd(service, hash.get())
                    .ifPresent(ack -> mLastAcks.put(ack.service(), ack));
        }
    }

    private HttpReply answer(HttpCall call, String service, long epoch, String id) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("server", mName);
        body.put("service", service);
        body.put("method", call.method());
        body.put("uri", call.uri());
        body.put("epoch", epoch);
        body.put("requestId", id);
        body.put("bodyBytes", call.body().length);
        return json(body);
    }
}
