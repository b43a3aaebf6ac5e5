package org.geraniumusher.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import org.geraniumusher.admission.GateLoad;
import org.geraniumusher.http.HeaderNames;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.routing.Dispatch;
import org.geraniumusher.routing.GatewayReport;

import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Pattern;

/** Rewrites the heads of requests and responses that pass the daemon. Thread-safe. */
final class ResponseRelay {
    private static final Pattern LOAD = Pattern.compile("(\\d{1,6} ){3}\\d{1,15} \\d{1,15}");

    /** Status of a backend server that holds no valid grant for the key of a request. */
    private static final int NOT_OWNER_STATUS = 421;

    private ResponseRelay() {}

    /** Returns the code of a response that says "not run", or empty. */
    static Optional<ResultCode> notRunCode(HttpResponse response) {
        if (!Outcome.NOT_RUN.text().equals(response.headers().get(HeaderNames.OUTCOME))) {
            return Optional.empty();
        }
        if (response.status().code() == NOT_OWNER_STATUS) {
            return Optional.of(ResultCode.NO_OWNER);
        }
        int number =
                response.headers()
                        .getInt(HeaderNames.RESULT, ResultCode.REFUSED_BY_SERVER.number());
        return Optional.of(codeOf(number).orElse(ResultCode.REFUSED_BY_SERVER));
    }

    /** Reports whether a gateway daemon answered that the outcome is unknown. */
    static boolean isUnknown(HttpResponse response) {
        return Outcome.UNKNOWN.text().equals(response.headers().get(HeaderNames.OUTCOME));
    }

    /** Reports whether the connection can serve another request after this response. */
    static boolean isReusable(HttpResponse response, boolean isHead) {
        return HttpUtil.isKeepAlive(response)
                && (isHead
                        || HttpUtil.isContentLengthSet(response)
                        || HttpUtil.isTransferEncodingChunked(response)
                        || response.status().code() == 204
                        || response.status().code() == 304);
    }

    /** Prepares the head of a response for the caller. */
    static void prepareResponse(
            HttpResponse response, HttpRequest request, Dispatch dispatch, boolean keepAlive) {
        boolean isOld = request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        HeaderNames.removeHopByHop(response.headers());
        if (isOld) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        } else if (!HttpUtil.isContentLengthSet(response)
                && response.status().code() != 204
                && response.status().code() != 304) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        response.headers()
                .set(HeaderNames.OUTCOME, Outcome.RAN.text())
                .set(HeaderNames.RESULT, ResultCode.OK.number())
                .set(HeaderNames.SERVER, dispatch.server());
        response.headers()
                .set(
                        HttpHeaderNames.CONNECTION,
                        keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    }

    /** Adds the gateway's report to a response for the daemon that forwarded the request. */
    static void addReport(HttpResponse response, Dispatch dispatch, long serviceNanos) {
        if (dispatch.via() instanceof Dispatch.Direct direct) {
            GateLoad load = direct.load();
            String text =
                    load.running()
                            + " "
                            + load.queued()
                            + " "
                            + load.usableSlots()
                            + " "
                            + load.serviceNanos()
                            + " "
                            + serviceNanos;
            response.headers().set(HeaderNames.LOAD, text);
        }
    }

    /** Takes the gateway's report out of a response. */
    static Optional<GatewayReport> takeReport(HttpResponse response) {
        String text = response.headers().get(HeaderNames.LOAD, "");
        response.headers().remove(HeaderNames.LOAD);
        if (!LOAD.matcher(text).matches()) {
            return Optional.empty();
        }
        String[] parts = text.split(" ");
        GateLoad load =
                new GateLoad(
                        Integer.parseInt(parts[0]),
                        Integer.parseInt(parts[1]),
                        Math.max(1, Integer.parseInt(parts[2])),
                        Long.parseLong(parts[3]));
        return Optional.of(new GatewayReport(load, Long.parseLong(parts[4])));
    }

    /** Sets the header fields that a backend server or gateway daemon needs. */
    static void prepareRequest(HttpRequest request, Dispatch dispatch, long id, long leftMillis) {
        HeaderNames.removeHopByHop(request.headers());
        HeaderNames.removeOwn(request.headers());
        request.setProtocolVersion(HttpVersion.HTTP_1_1);
        request.headers()
                .set(HeaderNames.REQUEST_ID, Long.toHexString(id))
                .set(HeaderNames.SERVICE, dispatch.service())
                .set(HeaderNames.DEADLINE_MILLIS, leftMillis);
        if (dispatch.keyed()) {
            request.headers()
                    .set(HeaderNames.HASH, HexFormat.of().toHexDigits(dispatch.hash()))
                    .set(HeaderNames.EPOCH, dispatch.epoch());
        }
        if (dispatch.via() instanceof Dispatch.Gateway) {
            request.headers()
                    .set(HeaderNames.SERVER, dispatch.server())
                    .set(HeaderNames.PRIORITY, dispatch.priority().name())
                    .set(HeaderNames.IDEMPOTENT, dispatch.idempotent());
        }
    }

    private static Optional<ResultCode> codeOf(int number) {
        for (ResultCode code : ResultCode.values()) {
            if (code.number() == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }
}
