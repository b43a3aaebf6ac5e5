package org.geraniumusher.tool;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.operator.Replies;
import org.geraniumusher.operator.ServerStatus;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Implements the commands that show owners, daemons, servers, assignments and burn rates. Not
 * thread-safe.
 */
final class StateCommands {
    private final CommandContext mContext;

    StateCommands(CommandContext context) {
        mContext = context;
    }

    /** Prints the owner of a key. */
    Optional<Failure> owner(String service, String key) {
        String uri =
                "/admin/owner?service="
                        + OperatorClient.escapeQueryValue(service)
                        + "&key="
                        + OperatorClient.escapeQueryValue(key);
        return mContext.printReply(uri, Replies.Owner.class, StateCommands::toTable);
    }

    /** Prints the daemons and their states. */
    Optional<Failure> daemons() {
        return mContext.printReply(
                "/admin/daemons?ages=1", Replies.Daemons.class, StateCommands::toTable);
    }

    /** Prints the servers that are leaving or paused at each daemon. */
    Optional<Failure> servers() {
        return mContext.printReply(
                "/admin/daemons", Replies.Daemons.class, StateCommands::toServersText);
    }

    /** Prints the key ranges of a service and their owners. */
    Optional<Failure> assignments(String service) {
        String uri = "/admin/assignments?service=" + OperatorClient.escapeQueryValue(service);
        return mContext.printReply(uri, Replies.Assignments.class, StateCommands::toTable);
    }

    /** Prints the burn report and, if {@code htmlFile} is given, also writes it as a page. */
    Optional<Failure> burnReport(Optional<Path> htmlFile) {
        Result<BurnReport> report = mContext.client().get("/admin/burn", BurnReport.class);
        return report.flatMap(r -> writeHtml(r, htmlFile))
                .map(
                        r -> {
                            mContext.output().printResult(r, () -> toText(r));
                            return r;
                        })
                .findFailure();
    }

    private static Result<BurnReport> writeHtml(BurnReport report, Optional<Path> htmlFile) {
        if (htmlFile.isEmpty()) {
            return Result.ok(report);
        }
        try {
            Files.writeString(htmlFile.get(), BurnReportPage.render(report));
            return Result.ok(report);
        } catch (IOException e) {
            return Result.failed(
                    Failure.of(
                            ResultCode.BAD_REQUEST,
                            "cannot write " + htmlFile.get() + " (" + e.getMessage() + ")"));
        }
    }

    private static Table toTable(Replies.Owner owner) {
        Replies.RangeRow range = owner.range();
        return Table.withHeader("FIRST", "LAST", "OWNER", "EPOCH", "VERSION", "PREVIOUS", "PENDING")
                .addRow(
                        range.first(),
                        range.last(),
                        range.owner(),
                        range.epoch(),
                        owner.version(),
                        range.previous(),
                        range.pending());
    }

    private static Table toTable(Replies.Daemons reply) {
        Table table =
                Table.withHeader(
                        "NAME",
                        "STATE",
                        "DATA CENTRE",
                        "CONFIGURATION",
                        "AGE S",
                        "TABLES",
                        "DRAINS",
                        "ROLES");
        for (MemberStatus member : reply.daemons()) {
            table.addRow(
                    member.name(),
                    member.state(),
                    member.dataCentre(),
                    member.configurationVersion(),
                    configurationAge(member),
                    member.tableVersions().entrySet().stream()
                            .map(e -> e.getKey() + "@" + e.getValue())
                            .collect(Collectors.joining(",")),
                    String.join(",", member.drains()),
                    String.join(",", member.roles()));
        }
        return table;
    }

    /**
     * Returns the seconds since the daemon last knew that its configuration is the one of the
     * store, or an empty text if it did not say so.
     */
    private static String configurationAge(MemberStatus member) {
        long millis = member.copyAgesMillis().getOrDefault("configuration", -1L);
        return millis < 0 ? "" : String.format(Locale.ROOT, "%.1f", millis / 1e3);
    }

    /** Includes which daemons did not answer, because a list without theirs looks complete. */
    private static String toServersText(Replies.Daemons reply) {
        Table table =
                Table.withHeader(
                        "DAEMON",
                        "SERVER",
                        "SERVICE",
                        "LEAVING",
                        "PAUSED UNTIL",
                        "SECONDS LEFT",
                        "REQUESTS/S");
        for (MemberStatus member : reply.daemons()) {
            for (ServerStatus server : member.servers()) {
                table.addRow(
                        member.name(),
                        server.server(),
                        server.service(),
                        server.leaving(),
                        server.pausedUntil(),
                        String.format(Locale.ROOT, "%.1f", server.pauseSecondsLeft()),
                        server.requestsPerSecond() == ServerStatus.NO_LIMIT
                                ? ""
                                : String.format(Locale.ROOT, "%.1f", server.requestsPerSecond()));
            }
        }
        Map<MemberStatus.State, List<String>> names =
                reply.daemons().stream()
                        .collect(
                                Collectors.groupingBy(
                                        MemberStatus::state,
                                        Collectors.mapping(
                                                MemberStatus::name, Collectors.toList())));
        List<String> silent = names.getOrDefault(MemberStatus.State.SUSPECT, List.of());
        return table
                + String.format(
                        "reported by %d daemons%s%n",
                        names.getOrDefault(MemberStatus.State.ALIVE, List.of()).size(),
                        silent.isEmpty() ? "" : ", no answer from " + String.join(", ", silent));
    }

    private static Table toTable(Replies.Assignments reply) {
        Table table = Table.withHeader("FIRST", "LAST", "OWNER", "EPOCH", "PREVIOUS", "PENDING");
        for (Replies.RangeRow range : reply.ranges()) {
            table.addRow(
                    range.first(),
                    range.last(),
                    range.owner(),
                    range.epoch(),
                    range.previous(),
                    range.pending());
        }
        return table;
    }

    /** Includes the number of daemons, because a report that lacks some of them looks complete. */
    private static String toText(BurnReport report) {
        return toTable(report)
                + String.format(
                        "counted by %d daemons in the last hour, %d requests not counted%n",
                        report.sources(), report.untracked());
    }

    private static Table toTable(BurnReport report) {
        Table table =
                Table.withHeader(
                        "ROUTE", "OBJECTIVE", "5 MIN", "1 H", "REQUESTS IN 1 H", "BAD", "ALERT");
        for (BurnReport.RouteBurn route : report.routes()) {
            table.addRow(
                    route.route(),
                    route.objective(),
                    BurnReportPage.formatNumber(route.shortBurn()),
                    BurnReportPage.formatNumber(route.longBurn()),
                    route.longTotal(),
                    route.longTotal() - route.longGood(),
                    route.alert() ? "yes" : "no");
        }
        return table;
    }
}
