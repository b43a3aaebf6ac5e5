package org.geraniumusher.tool;

import com.google.common.base.Ascii;
import com.google.common.base.Joiner;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.tool.ProgressPoller.Progress;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Implements the commands that list quarantined requests and release them.
 *
 * <p>A release is complete when no daemon that answers still has the removed quarantine in force. A
 * request that crashes servers again is quarantined anew, which does not prolong the wait. Not
 * thread-safe.
 */
final class QuarantineCommands {
    private static final String QUARANTINES_PATH = "/admin/quarantines";
    private static final int FINGERPRINT_DIGITS = 32;

    /** Fewer digits could match a request that the operator does not mean. */
    private static final int MIN_PREFIX_DIGITS = 6;

    private final CommandContext mContext;
    private final ProgressPoller mPoller;

    QuarantineCommands(CommandContext context) {
        mContext = context;
        mPoller = new ProgressPoller(context);
    }

    /** Prints the quarantined requests. */
    Optional<Failure> list() {
        return mContext.printReply(
                QUARANTINES_PATH, Replies.Quarantines.class, QuarantineCommands::toTable);
    }

    /**
     * Ends the quarantine of a request and waits until that is in force.
     *
     * @param digits the fingerprint of the request or its first digits
     * @throws IllegalArgumentException if {@code digits} cannot be the start of a fingerprint
     */
    Optional<Failure> release(String digits, Duration timeout) {
        String prefix = Ascii.toLowerCase(digits);
        if (!prefix.matches("[0-9a-f]{" + MIN_PREFIX_DIGITS + "," + FINGERPRINT_DIGITS + "}")) {
            throw new IllegalArgumentException(
                    "not a fingerprint or its first digits ("
                            + MIN_PREFIX_DIGITS
                            + " to "
                            + FINGERPRINT_DIGITS
                            + " hexadecimal digits): "
                            + digits);
        }
        return findRequest(prefix)
                .flatMap(this::sendRelease)
                .flatMap(ended -> awaitCompletion(ended, timeout))
                .findFailure()
                .map(QuarantineCommands::withSuggestion);
    }

    private static Failure withSuggestion(Failure failure) {
        return switch (failure.code()) {
            case CONFLICT ->
                    failure.withSuggestion("its state has just changed, repeat the command");
            case NOT_FOUND ->
                    failure.withSuggestion("it may have ended, 'quarantines' lists those in force");
            case PLATFORM_UNAVAILABLE ->
                    failure.withSuggestion(
                            "the release may have taken effect: look at 'quarantines', then repeat"
                                    + " it");
            case NOT_IN_FORCE ->
                    failure.withSuggestion(
                            "the store no longer has the quarantine, 'daemons --output json' shows"
                                    + " which daemons still do");
            default -> failure;
        };
    }

    private Result<Replies.Quarantines> fetchQuarantines() {
        return mContext.client().get(QUARANTINES_PATH, Replies.Quarantines.class);
    }

    /** Returns the fingerprint of the only quarantined request that starts with a prefix. */
    private Result<String> findRequest(String prefix) {
        // The daemon that is asked may not have read a quarantine that the store has.
        return prefix.length() == FINGERPRINT_DIGITS
                ? Result.ok(prefix)
                : fetchQuarantines().flatMap(reply -> findRequest(prefix, reply));
    }

    private static Result<String> findRequest(String prefix, Replies.Quarantines reply) {
        List<String> matches =
                reply.quarantines().stream()
                        .map(Replies.QuarantineRow::request)
                        .filter(request -> request.startsWith(prefix))
                        .toList();
        return switch (matches.size()) {
            case 0 ->
                    Result.failed(
                            Failure.of(
                                    ResultCode.NOT_FOUND,
                                    "no quarantined request starts with " + prefix));
            case 1 -> Result.ok(matches.get(0));
            default ->
                    Result.failed(
                            Failure.of(
                                            ResultCode.BAD_REQUEST,
                                            matches.size()
                                                    + " quarantined requests start with "
                                                    + prefix
                                                    + ": "
                                                    + Joiner.on(", ").join(matches))
                                    .withSuggestion("give more digits, nothing was released"));
        };
    }

    private Result<Replies.QuarantineEnded> sendRelease(String request) {
        return mContext.client()
                .call(
                        HttpCall.of("DELETE", QUARANTINES_PATH + "?request=" + request),
                        Replies.QuarantineEnded.class);
    }

    private Result<Replies.QuarantineEnded> awaitCompletion(
            Replies.QuarantineEnded ended, Duration timeout) {
        return mPoller.await(timeout, () -> pollProgress(ended))
                .<Result<Replies.QuarantineEnded>>map(Result::failed)
                .orElseGet(() -> Result.ok(print(ended)));
    }

    private Result<Progress> pollProgress(Replies.QuarantineEnded ended) {
        return mPoller.fetchDaemons()
                .map(daemons -> Progress.at(daemons, member -> isReleased(ended, member)));
    }

    /** Returns whether a daemon has no quarantine of the request, or one written later. */
    private static boolean isReleased(Replies.QuarantineEnded ended, MemberStatus member) {
        return member.quarantines().getOrDefault(ended.request(), Long.MAX_VALUE) > ended.version();
    }

    private Replies.QuarantineEnded print(Replies.QuarantineEnded ended) {
        mContext.output()
                .printResult(
                        ended,
                        () ->
                                String.format(
                                        "%s: released, version %d%n",
                                        ended.request(), ended.version()));
        return ended;
    }

    private static Table toTable(Replies.Quarantines reply) {
        Table table =
                Table.withHeader(
                        "REQUEST",
                        "STATE",
                        "SERVICE",
                        "TARGET",
                        "CRASHES",
                        "SINCE",
                        "SECONDS LEFT",
                        "INCARNATIONS");
        for (Replies.QuarantineRow row : reply.quarantines()) {
            table.addRow(
                    row.request(),
                    row.state(),
                    row.service(),
                    row.target(),
                    row.crashes(),
                    row.since(),
                    row.secondsLeft(),
                    String.join(",", row.incarnations()));
        }
        return table;
    }
}
