package org.geraniumusher.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.http.HeaderNames;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends GET and POST requests at a steady rate for some keys of the keyed service and some paths of
 * the unkeyed one, and keeps what became of them. Each path has one request at a time, so a gap is
 * the time without a successful response. Thread-safe.
 */
final class Traffic implements AutoCloseable {
    private static final int KEYS = 16;
    private static final int UNKEYED_PATHS = 4;
    private static final long PERIOD_MILLIS = 10;

    private final TestFleet mFleet;
    private final ScheduledExecutorService mThreads =
            Executors.newScheduledThreadPool(KEYS + UNKEYED_PATHS);
    private final ImmutableList<Flow> mFlows;
    private final long mStartNanos = System.nanoTime();
    private final Map<String, HttpReply> mPosts = new ConcurrentHashMap<>();
    private final Collection<Failure> mFailures = new ConcurrentLinkedQueue<>();
    private volatile ImmutableList<Integer> mDaemons;

    private Traffic(TestFleet fleet, List<Integer> daemons) {
        mFleet = fleet;
        mDaemons = ImmutableList.copyOf(daemons);
        ImmutableList.Builder<Flow> flows = ImmutableList.builder();
        for (int i = 0; i < KEYS; i++) {
            flows.add(new Flow("/clefts/key-" + i));
        }
        for (int i = 0; i < UNKEYED_PATHS; i++) {
            flows.add(new Flow("/ledger/path-" + i));
        }
        mFlows = flows.build();
    }

    /** Starts requests through some daemons, given by their indexes, in turn. */
    static Traffic start(TestFleet fleet, List<Integer> daemons) {
        Traffic traffic = new Traffic(fleet, daemons);
        for (Flow flow : traffic.mFlows) {
            traffic.mThreads.scheduleWithFixedDelay(
                    flow::next, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        }
        return traffic;
    }

    /** Sends later requests through other daemons. */
    void setDaemons(List<Integer> daemons) {
        mDaemons = ImmutableList.copyOf(daemons);
    }

    /** Waits until each path has had {@code count} more successful responses. */
    void awaitMore(int count) {
        ImmutableList<Long> before =
                mFlows.stream().map(Flow::succeeded).collect(ImmutableList.toImmutableList());
        try {
            TestFleet.await(() -> hasSucceeded(before, count));
        } catch (AssertionError e) {
            throw new AssertionError("too few responses: " + this, e);
        }
    }

    private boolean hasSucceeded(List<Long> before, int more) {
        for (int i = 0; i < before.size(); i++) {
            if (mFlows.get(i).succeeded() < before.get(i) + more) {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        ImmutableList<Failure> failures = failures();
        ImmutableList<Failure> last =
                failures.subList(Math.max(0, failures.size() - 6), failures.size());
        return "flows=" + mFlows + " failures=" + failures.size() + " last=" + last;
    }

    /** Waits until a time has passed since {@code nanos}, while requests are sent. */
    void awaitSince(long nanos, Duration time) {
        TestFleet.await(() -> System.nanoTime() - nanos >= time.toNanos());
    }

    /** Returns the longest time without a successful response, in milliseconds, by path. */
    ImmutableMap<String, Long> longestGapsMillis() {
        ImmutableMap.Builder<String, Long> gaps = ImmutableMap.builder();
        mFlows.forEach(flow -> gaps.put(flow.mPath, flow.longestGapMillis()));
        return gaps.buildOrThrow();
    }

    /** Returns the paths whose longest gap exceeds {@code limit}, with the gap in milliseconds. */
    ImmutableMap<String, Long> gapsAbove(Duration limit) {
        ImmutableMap.Builder<String, Long> above = ImmutableMap.builder();
        longestGapsMillis()
                .forEach(
                        (path, millis) -> {
                            if (millis > limit.toMillis()) {
                                above.put(path, millis);
                            }
                        });
        return above.buildOrThrow();
    }

    /** Returns the requests without a successful response. */
    ImmutableList<Failure> failures() {
        return ImmutableList.copyOf(mFailures);
    }

    /** Returns the POST requests that ran more than once. */
    ImmutableList<String> repeatedPosts() {
        return mPosts.keySet().stream()
                .filter(uri -> mFleet.executions().count("POST", uri) > 1)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the POST requests that ran although the response says that they did not. */
    ImmutableList<String> falselyNotRun() {
        return mPosts.entrySet().stream()
                .filter(entry -> "not-run".equals(outcome(entry.getValue())))
                .map(Map.Entry::getKey)
                .filter(uri -> mFleet.executions().count("POST", uri) > 0)
                .collect(ImmutableList.toImmutableList());
    }

    /** Stops sending and waits for the requests under way. */
    @Override
    public void close() {
        mThreads.shutdown();
        TestFleet.await(mThreads::isTerminated);
    }

    private static String outcome(HttpReply reply) {
        return reply.headers().getOrDefault(HeaderNames.OUTCOME, "");
    }

    /**
     * Describes a request without a successful response.
     *
     * @param status status of the response, or 0 when there was none
     * @param outcome what the response says about execution
     * @param atMillis end of the request, from the start of the traffic
     */
    record Failure(
            int daemon,
            String method,
            String uri,
            int status,
            String outcome,
            String text,
            long atMillis) {}

    /** Sends the requests of one path, one at a time. */
    private final class Flow {
        private final String mPath;
        private final AtomicLong mSucceeded = new AtomicLong();
        private final AtomicLong mLastNanos = new AtomicLong(System.nanoTime());
        private final AtomicLong mLongestNanos = new AtomicLong();
        private long mCount;

        Flow(String path) {
            mPath = path;
        }

        void next() {
            long n = mCount++;
            ImmutableList<Integer> daemons = mDaemons;
            int daemon = daemons.get((int) (n / 2 % daemons.size()));
            String method = n % 2 == 0 ? "GET" : "POST";
            String uri = mPath + "/" + mStartNanos + "-" + n;
            HttpCall call = n % 2 == 0 ? HttpCall.of(method, uri) : HttpCall.of(method, uri, "{}");
            record(daemon, call, mFleet.call(daemon, call));
        }

        private void record(int daemon, HttpCall call, HttpReply reply) {
            long now = System.nanoTime();
            if (call.method().equals("POST")) {
                mPosts.put(call.uri(), reply);
            }
            if (!reply.isOk()) {
                long millis = TimeUnit.NANOSECONDS.toMillis(now - mStartNanos);
                mFailures.add(
                        new Failure(
                                daemon,
                                call.method(),
                                call.uri(),
                                reply.status(),
                                outcome(reply),
                                reply.text().strip(),
                                millis));
                return;
            }
            long gap = now - mLastNanos.getAndSet(now);
            mLongestNanos.accumulateAndGet(gap, Math::max);
            mSucceeded.incrementAndGet();
        }

        @Override
        public String toString() {
            return mPath + ":" + mSucceeded + "/" + longestGapMillis() + "ms";
        }

        long succeeded() {
            return mSucceeded.get();
        }

        long longestGapMillis() {
            long open = System.nanoTime() - mLastNanos.get();
            return TimeUnit.NANOSECONDS.toMillis(Math.max(open, mLongestNanos.get()));
        }
    }
}
