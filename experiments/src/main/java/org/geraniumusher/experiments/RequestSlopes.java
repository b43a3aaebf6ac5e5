package org.geraniumusher.experiments;

import org.geraniumusher.dissemination.Disseminator;
import org.geraniumusher.routing.RequestDecider;
import org.geraniumusher.routing.RequestHead;
import org.geraniumusher.routing.RoutingConfiguration;

import java.util.Optional;

/** Measures one request in the decider, arrival to answered, with the gateway in this daemon. */
public final class RequestSlopes {
    private static final int[] OBJECTS = {100, 1_000, 10_000};
    private static final long SERVICE_NANOS = 6_000_000;

    private final CountingOutputs mOutputs = new CountingOutputs();
    private final RequestDecider mDecider = RequestDecider.create(mOutputs, 1);
    private long mNowNanos;
    private long mId;

    private RequestSlopes(int objects) {
        Disseminator disseminator = Disseminator.create(Fleet.member(0));
        var all = Fleet.changes(Fleet.objects(objects));
        disseminator.onListed(all.size(), all);
        mDecider.onConfiguration(0, RoutingConfiguration.of(disseminator.configuration()));
        mDecider.onShard(1, Fleet.shard("service-0", 256, 1));
    }

    private record Head(String uri) implements RequestHead {
        @Override
        public String method() {
            return "GET";
        }

        @Override
        public String host() {
            return "host";
        }

        @Override
        public Optional<String> header(String name) {
            return Optional.empty();
        }
    }

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.println("### Request in the decider\n");
        System.out.println("| objects | keyed µs | unkeyed µs | refused |");
        System.out.println("|---|---|---|---|");
        for (int objects : OBJECTS) {
            RequestSlopes run = new RequestSlopes(objects);
            Summary keyed = CpuMeter.micros(() -> run.request("/route-0/key-" + run.mId % 1_000));
            Summary unkeyed = CpuMeter.micros(() -> run.request("/route-1/read"));
            System.out.printf(
                    "| %d | %.2f (%.2f–%.2f) | %.2f (%.2f–%.2f) | %d of %d |%n",
                    objects,
                    keyed.median(),
                    keyed.lowest(),
                    keyed.highest(),
                    unkeyed.median(),
                    unkeyed.lowest(),
                    unkeyed.highest(),
                    run.mOutputs.refused(),
                    run.mId);
        }
        System.out.println();
    }

    private Long request(String uri) {
        mId++;
        mDecider.onArrival(mNowNanos, mId, new Head(uri));
        mNowNanos += SERVICE_NANOS;
        mDecider.onAnswered(mNowNanos, mId, Optional.empty());
        return mId;
    }
}
