package org.geraniumusher.tool;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.model.Selector;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.tool.ProgressPoller.Progress;

import java.time.Duration;
import java.util.Optional;

/**
 * Implements the commands that drain servers, return them to service and list the drains.
 *
 * <p>A drain is complete when every daemon that answers has it in force and the servers hold no key
 * range, not even as previous owners whose grants may still be valid. A return is complete when it
 * is in force at every daemon that answers; key ranges move back later, as load allows. Not
 * thread-safe.
 */
final class DrainCommands {
    private static final String DRAINS_PATH = "/admin/drains";

    private final CommandContext mContext;
    private final ProgressPoller mPoller;

    DrainCommands(CommandContext context) {
        mContext = context;
        mPoller = new ProgressPoller(context);
    }

    /**
     * The result of a completed change, printed as JSON under these names.
     *
     * @param serving whether the servers are returned to service
     * @param version store revision at which the drain was written
     */
    record CompletedChange(String name, boolean serving, long version) {}

    /** Takes the servers that {@code selector} matches out of service and waits for completion. */
    Optional<Failure> drain(String name, Selector selector, Duration timeout) {
        String uri =
                drainUri(name)
                        + "&selector="
                        + OperatorClient.escapeQueryValue(selector.toString());
        return sendChange("POST", uri)
                .flatMap(c -> awaitCompletion(c, false, timeout))
                .findFailure();
    }

    /** Returns the servers of a drain to service and waits for completion. */
    Optional<Failure> endDrain(String name, Duration timeout) {
        return sendChange("DELETE", drainUri(name))
                .flatMap(c -> awaitCompletion(c, true, timeout))
                .findFailure();
    }

    /** Prints the drains with their progress. */
    Optional<Failure> listDrains() {
        return mContext.printReply(DRAINS_PATH, Replies.Drains.class, DrainCommands::toTable);
    }

    private static String drainUri(String name) {
        return DRAINS_PATH + "?name=" + OperatorClient.escapeQueryValue(name);
    }

    private Result<Replies.DrainChanged> sendChange(String method, String uri) {
        return mContext.client().call(HttpCall.of(method, uri), Replies.DrainChanged.class);
    }

    private Result<Replies.Drains> fetchDrains() {
        return mContext.client().get(DRAINS_PATH, Replies.Drains.class);
    }

    private Result<CompletedChange> awaitCompletion(
            Replies.DrainChanged change, boolean serving, Duration timeout) {
        Optional<Failure> failure =
                mPoller.await(timeout, () -> pollProgress(change.name(), serving));
        return failure.isPresent()
                ? Result.failed(failure.get())
                : Result.ok(print(new CompletedChange(change.name(), serving, change.version())));
    }

    private Result<Progress> pollProgress(String name, boolean serving) {
        return mPoller.fetchDaemons()
                .flatMap(d -> fetchDrains().map(drains -> toProgress(name, serving, d, drains)));
    }

    private static Progress toProgress(
            String name, boolean serving, Replies.Daemons daemons, Replies.Drains drains) {
        // A drain must be in force at a daemon, and a return must have removed it there.
        Progress atDaemons = Progress.at(daemons, d -> d.drains().contains(name) != serving);
        int ranges =
                drains.drains().stream()
                        .filter(d -> d.name().equals(name))
                        .mapToInt(Replies.DrainRow::ranges)
                        .sum();
        return new Progress(
                atDaemons.done() && ranges == 0,
                atDaemons.line() + ", " + ranges + " key ranges left");
    }

    private CompletedChange print(CompletedChange change) {
        mContext.output()
                .printResult(
                        change,
                        () ->
                                String.format(
                                        "%s: %s, version %d%n",
                                        change.name(),
                                        change.serving() ? "returned to service" : "out of service",
                                        change.version()));
        return change;
    }

    private static Table toTable(Replies.Drains reply) {
        Table table = Table.withHeader("NAME", "SELECTOR", "SERVERS", "RANGES LEFT", "VERSION");
        for (Replies.DrainRow row : reply.drains()) {
            table.addRow(row.name(), row.selector(), row.servers(), row.ranges(), row.version());
        }
        return table;
    }
}
