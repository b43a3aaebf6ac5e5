package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.Responder;
import org.geraniumusher.model.Address;
import org.geraniumusher.operator.Json;
import org.geraniumusher.traffic.ServerEntry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Counts which servers this daemon and a few peers reach, and answers such calls of peers. Confined
 * to the event loop.
 *
 * <p>A server is reached by a connection that it accepts. Connections can be accepted on the way to
 * a server that is cut off, so the failing servers are also compared by the answers to requests:
 * one that answers a peer and not this daemon works.
 *
 * <p>Invariant: a daemon connects only to servers that it lists, whatever a call names.
 */
final class ReachInquiry implements CoordinatorService.PeerReach {
    /** Path at which a daemon says how many servers it reaches. */
    static final String PATH = "/reach";

    /** Path at which a daemon is asked to stand for election. */
    static final String NOMINATION_PATH = "/nominate";

    /** Peers may be cut off with this daemon, so more than one is asked. */
    private static final int MAX_PEERS = 5;

    /**
     * Age up to which an answer to a request shows that a server is reached. A grant has failed for
     * as long when peers are asked, so an older answer may be from before the fault.
     */
    private static final long ANSWERED_NANOS = 500_000_000L;

    /** Longer than the connections of the peer may take. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

    private final DaemonContext mContext;
    private final CoordinatorService mCoordinator;
    private final ConnectProbe mProbe;
    private final UpstreamSet mUpstreams;
    private final Supplier<ImmutableList<Address>> mPeers;
    private final HttpClient mClient;
    private final Random mRandom;

    /**
     * The IDs of incarnations, as sent between daemons.
     *
     * @param failing those that do not answer the asking daemon
     */
    record Question(List<String> incarnations, List<String> failing) {
        Question {
            incarnations = ImmutableList.copyOf(incarnations);
            failing = failing == null ? ImmutableList.of() : ImmutableList.copyOf(failing);
        }
    }

    /**
     * How many servers a daemon reaches, as sent between daemons.
     *
     * @param reached servers that accept a connection
     * @param answering failing ones that have answered a request lately
     */
    record Answer(int reached, int answering) {}

    private record PeerAnswer(Address peer, Answer answer) {}

    ReachInquiry(
            DaemonContext context,
            CoordinatorService coordinator,
            ConnectProbe probe,
            UpstreamSet upstreams,
            Supplier<ImmutableList<Address>> peers,
            HttpClient client) {
        mContext = checkNotNull(context);
        mCoordinator = checkNotNull(coordinator);
        mProbe = checkNotNull(probe);
        mUpstreams = checkNotNull(upstreams);
        mPeers = checkNotNull(peers);
        mClient = checkNotNull(client);
        mRandom = new Random(context.incarnation());
    }

    @Override
    public void ask(
            Collection<String> servers, Collection<String> failing, Consumer<Outcome> onOutcome) {
        List<Address> peers = new ArrayList<>(mPeers.get());
        Collections.shuffle(peers, mRandom);
        String question = Json.write(new Question(List.copyOf(servers), List.copyOf(failing)));
        List<CompletableFuture<Optional<PeerAnswer>>> calls =
                peers.stream().limit(MAX_PEERS).map(peer -> call(peer, question)).toList();
        CompletableFuture<Integer> own = countReached(servers);
        CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]))
                .thenCombine(own, (done, reached) -> reached)
                .thenAccept(
                        reached ->
                                mContext.thread()
                                        .execute(
                                                () ->
                                                        onOutcome.accept(
                                                                best(
                                                                        reached,
                                                                        servers.size()
                                                                                - failing.size(),
                                                                        countAnswering(failing),
                                                                        calls))));
    }

    /**
     * Returns the outcome for the peer that is ahead of this daemon by most servers, by the
     * connections that they accept or by the answers of the failing ones.
     */
    private static Outcome best(
            int reachedHere,
            int notFailing,
            int answeringHere,
            List<CompletableFuture<Optional<PeerAnswer>>> calls) {
        Outcome best = new Outcome(reachedHere, 0, Optional.empty());
        for (CompletableFuture<Optional<PeerAnswer>> call : calls) {
            PeerAnswer peer = call.join().orElse(null);
            if (peer == null) {
                continue;
            }
            Answer answer = peer.answer();
            Optional<Address> address = Optional.of(peer.peer());
            Outcome byConnections = new Outcome(reachedHere, answer.reached(), address);
            Outcome byAnswers =
                    new Outcome(
                            notFailing + answeringHere, notFailing + answer.answering(), address);
            best = better(better(best, byConnections), byAnswers);
        }
        return best;
    }

    private static Outcome better(Outcome first, Outcome second) {
        return second.reachedByPeer() - second.reachedHere()
                        > first.reachedByPeer() - first.reachedHere()
                ? second
                : first;
    }

    /** Counts the incarnations that have answered a request of this daemon lately. */
    private int countAnswering(Collection<String> incarnationIds) {
        return (int)
                incarnationIds.stream()
                        .map(mUpstreams::get)
                        .filter(u -> u != null && u.hasAnsweredWithin(ANSWERED_NANOS))
                        .count();
    }

    private CompletableFuture<Optional<PeerAnswer>> call(Address peer, String question) {
        return mClient.call(peer, HttpCall.of("POST", PATH, question), CALL_TIMEOUT)
                .thenApply(reply -> decode(peer, reply))
                .exceptionally(
                        error -> {
                            logNoAnswer(peer, String.valueOf(error.getMessage()));
                            return Optional.empty();
                        });
    }

    private Optional<PeerAnswer> decode(Address peer, HttpReply reply) {
        if (reply.status() != 200) {
            logNoAnswer(peer, "status " + reply.status());
            return Optional.empty();
        }
        return Optional.of(new PeerAnswer(peer, Json.read(reply.text(), Answer.class)));
    }

    private void logNoAnswer(Address peer, String cause) {
        mContext.log()
                .write(
                        Part.PEER,
                        "Peer did not say which servers it reaches",
                        "peer",
                        peer,
                        "cause",
                        cause);
    }

    private CompletableFuture<Integer> countReached(Collection<String> incarnationIds) {
        CompletableFuture<Integer> total = CompletableFuture.completedFuture(0);
        for (String incarnationId : incarnationIds) {
            ServerEntry server = mContext.directory().servers().get(incarnationId);
            if (server != null) {
                CompletableFuture<Integer> accepted = new CompletableFuture<>();
                mProbe.open(
                        server.address(),
                        result ->
                                accepted.complete(result == ConnectProbe.Result.ACCEPTED ? 1 : 0));
                total = total.thenCombine(accepted, Integer::sum);
            }
        }
        return total;
    }

    /**
     * Replies to the question of a peer, with status 503 if this daemon could not be elected now.
     *
     * @throws IllegalArgumentException if the question is invalid
     */
    void reply(HttpCall call, Responder responder) {
        Question question = Json.read(call.text(), Question.class);
        if (!mCoordinator.canStand()) {
            responder.reply(HttpReply.of(503, "{}"));
            return;
        }
        countReached(question.incarnations())
                .thenAccept(
                        reached ->
                                responder.reply(
                                        HttpReply.of(
                                                200,
                                                Json.write(
                                                        new Answer(
                                                                reached,
                                                                countAnswering(
                                                                        question.failing()))))));
    }

    @Override
    public void nominate(Address peer) {
        mClient.call(peer, HttpCall.of("POST", NOMINATION_PATH, "{}"), CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) ->
                                mContext.log()
                                        .write(
                                                Part.PEER,
                                                "Asked a peer to stand for election",
                                                "peer",
                                                peer,
                                                "result",
                                                error == null
                                                        ? "status " + reply.status()
                                                        : error.getMessage()));
    }
}
