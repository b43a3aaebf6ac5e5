package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.membership.Member;
import org.geraniumusher.platform.Json;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Gets the burn report of all daemons from a collector. Thread-safe; never blocks. */
final class BurnReports {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Two silent collectors and this daemon's own answer fit into the tool's 5 s. */
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private final String mSelf;
    private final HttpClient mClient;
    private final Supplier<BurnReport> mLocal;

    BurnReports(String self, HttpClient client, Supplier<BurnReport> local) {
        mSelf = checkNotNull(self);
        mClient = checkNotNull(client);
        mLocal = checkNotNull(local);
    }

    /** Asks the collectors in turn; reports this daemon's own knowledge when none answers. */
    CompletableFuture<BurnReport> ask(List<Member> collectors) {
        boolean here = collectors.stream().anyMatch(member -> member.name().equals(mSelf));
        if (here || collectors.isEmpty()) {
            return CompletableFuture.completedFuture(mLocal.get());
        }
        Member first = collectors.get(0);
        return mClient.call(
                        first.operatorAddress(), HttpCall.of("GET", "/admin/burn?local"), TIMEOUT)
                .thenApply(BurnReports::decode)
                .exceptionallyCompose(
                        error -> {
                            LOG.atWarning().log(
                                    "burn: collector did not answer. daemon=%s reason=%s",
                                    first.name(), error.getMessage());
                            return ask(collectors.subList(1, collectors.size()));
                        });
    }

    private static BurnReport decode(HttpReply reply) {
        if (!reply.isOk()) {
            throw new IllegalArgumentException("status " + reply.status());
        }
        return Json.read(reply.text(), BurnReport.class);
    }
}
