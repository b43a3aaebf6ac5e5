package org.geraniumusher.tool;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.operator.Replies;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.stream.Collectors;

/** Shows owners, daemons, assignments and burn rates. Not thread-safe. */
final class StateCommands {
    private final Context mContext;

    StateCommands(Context context) {
        mContext = context;
    }

    Optional<Failure> owner(String service, String key) {
        String uri =
                "/admin/owner?service="
                        + OperatorClient.escape(service)
                        + "&key="
                        + OperatorClient.escape(key);
        return show(uri, Replies.Owner.class, StateCommands::toTable);
    }

    Optional<Failure> daemons() {
        return show("/admin/daemons", Replies.Daemons.class, StateCommands::toTable);
    }

    Optional<Failure> assignments(String service) {
        String uri = "/admin/assignments?service=" + OperatorClient.escape(service);
        return show(uri, Replies.Assignments.class, StateCommands::toTable);
    }

    Optional<Failure> burn(Optional<Path> html) {
        Result<BurnReport> report = mContext.client().get("/admin/burn", BurnReport.class);
        return report.then(r -> writePage(r, html))
                .map(
                        r -> {
                            mContext.output().result(r, () -> toText(r));
                            return r;
                        })
                .findFailure();
    }

    private <T> Optional<Failure> show(
            String uri, Class<T> type, java.util.function.Function<T, Table> toTable) {
        return mContext.client()
                .get(uri, type)
                .map(
                        reply -> {
                            mContext.output().result(reply, () -> toTable.apply(reply));
                            return reply;
                        })
                .findFailure();
    }

    private static Result<BurnReport> writePage(BurnReport report, Optional<Path> html) {
        if (html.isEmpty()) {
            return Result.ok(report);
        }
        try {
            Files.writeString(html.get(), BurnPage.of(report));
            return Result.ok(report);
        } catch (IOException e) {
            return Result.failed(
                    Failure.of(
                            ResultCode.BAD_REQUEST,
                            "cannot write " + html.get() + " (" + e.getMessage() + ")"));
        }
    }

    private static Table toTable(Replies.Owner owner) {
        Replies.RangeRow range = owner.range();
        return Table.of("FIRST", "LAST", "OWNER", "EPOCH", "VERSION", "PREVIOUS", "PENDING")
                .row(
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
                Table.of(
                        "NAME",
                        "STATE",
                        "DATA CENTRE",
                        "CONFIGURATION",
                        "TABLES",
                        "DRAINS",
                        "ROLES");
        for (MemberStatus member : reply.daemons()) {
            table.row(
                    member.name(),
                    member.state(),
                    member.dataCentre(),
                    member.configurationVersion(),
                    member.tableVersions().entrySet().stream()
                            .map(e -> e.getKey() + "@" + e.getValue())
                            .collect(Collectors.joining(",")),
                    String.join(",", member.drains()),
                    String.join(",", member.roles()));
        }
        return table;
    }

    private static Table toTable(Replies.Assignments reply) {
        Table table = Table.of("FIRST", "LAST", "OWNER", "EPOCH", "PREVIOUS", "PENDING");
        for (Replies.RangeRow range : reply.ranges()) {
            table.row(
                    range.first(),
                    range.last(),
                    range.owner(),
                    range.epoch(),
                    range.previous(),
                    range.pending());
        }
        return table;
    }

    /** Names the number of daemons, because a report without some of them looks complete. */
    private static String toText(BurnReport report) {
        return toTable(report)
                + String.format(
                        "counted by %d daemons in the last hour, %d requests not counted%n",
                        report.sources(), report.untracked());
    }

    private static Table toTable(BurnReport report) {
        Table table =
                Table.of("ROUTE", "OBJECTIVE", "5 MIN", "1 H", "REQUESTS IN 1 H", "BAD", "ALERT");
        for (BurnReport.RouteBurn route : report.routes()) {
            table.row(
                    route.route(),
                    route.objective(),
                    BurnPage.number(route.shortBurn()),
                    BurnPage.number(route.longBurn()),
                    route.longTotal(),
                    route.longTotal() - route.longGood(),
                    route.alert() ? "yes" : "no");
        }
        return table;
    }
}
