package org.geraniumusher.tool;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.net.UrlEscapers;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.ErrorReply;
import org.geraniumusher.operator.Json;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;

/**
 * Calls the operator port of one of several daemons.
 *
 * <p>A call goes to the daemon that answered last and is repeated at the next one if there is no
 * answer. Writes may be repeated as well, because they are conditional. Calls block. Not
 * thread-safe.
 */
final class OperatorClient {
    private final HttpClient mClient;
    private final ImmutableList<Address> mDaemons;

    /** Time limit of a call to one daemon. */
    private final Duration mCallTimeout;

    /** Index of the daemon that answered last. */
    private int mPreferredIndex;

    private OperatorClient(HttpClient client, List<Address> daemons, Duration timeout) {
        checkArgument(!daemons.isEmpty(), "no daemon addresses");
        mClient = client;
        mDaemons = ImmutableList.copyOf(daemons);
        mCallTimeout = timeout;
    }

    static OperatorClient create(HttpClient client, List<Address> daemons, Duration timeout) {
        return new OperatorClient(client, daemons, timeout);
    }

    /** Escapes a value for use in the query of a URI. */
    static String escapeQueryValue(String text) {
        return UrlEscapers.urlFormParameterEscaper().escape(text);
    }

    /** Sends a GET request and parses the JSON body of the reply. */
    <T> Result<T> get(String uri, Class<T> type) {
        return call(HttpCall.of("GET", uri), type);
    }

    /** Sends a request and parses the JSON body of the reply. */
    <T> Result<T> call(HttpCall call, Class<T> type) {
        return send(call).flatMap(reply -> decode(reply, type));
    }

    private Result<HttpReply> send(HttpCall call) {
        List<String> failures = new ArrayList<>();
        for (int i = 0; i < mDaemons.size(); i++) {
            int index = (mPreferredIndex + i) % mDaemons.size();
            Address daemon = mDaemons.get(index);
            try {
                HttpReply reply = mClient.call(daemon, call, mCallTimeout).join();
                mPreferredIndex = index;
                return Result.ok(reply);
            } catch (CompletionException e) {
                failures.add(daemon + " (" + reasonOf(e) + ")");
            }
        }
        return Result.failed(
                Failure.of(ResultCode.NO_DAEMON, "no answer from " + String.join(", ", failures)));
    }

    private static String reasonOf(CompletionException e) {
        Throwable cause = e.getCause();
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private static <T> Result<T> decode(HttpReply reply, Class<T> type) {
        try {
            return reply.isOk()
                    ? Result.ok(Json.read(reply.text(), type))
                    : Result.failed(toFailure(Json.read(reply.text(), ErrorReply.class)));
        } catch (IllegalArgumentException e) {
            return Result.failed(
                    Failure.of(
                            ResultCode.NO_DAEMON,
                            "status " + reply.status() + " with a body that cannot be parsed"));
        }
    }

    private static Failure toFailure(ErrorReply error) {
        return Failure.of(error.toResultCode().orElse(ResultCode.BAD_REQUEST), error.message());
    }
}
