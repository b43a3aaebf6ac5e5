package org.geraniumusher.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HeaderNames;
import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.ConfigObject;
import org.geraniumusher.platform.Json;
import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.platform.WriteResult;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Writes the objects of the demo to the platform and sends requests through the daemons: {@code
 * DemoMain PLATFORM DAEMON...}.
 */
public final class DemoMain {
    private static final Duration TIMEOUT = Duration.ofSeconds(6);
    private static final int MAX_WAIT_SECONDS = 30;

    private final HttpClient mClient;
    private final ObjectApi mApi;
    private final List<Address> mDaemons;

    private DemoMain(EventLoopGroup group, Address platform, List<Address> daemons) {
        mClient = HttpClient.create(group);
        mApi = ObjectApi.create(mClient, platform);
        mDaemons = ImmutableList.copyOf(daemons);
    }

    /** Runs the demo and exits with 0 when every request was answered. */
    public static void main(String[] args) throws Exception {
        List<Address> daemons = new ArrayList<>();
        for (int i = 1; i < args.length; i++) {
            daemons.add(Address.of(args[i]));
        }
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        boolean ok = new DemoMain(group, Address.of(args[0]), daemons).run();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        System.exit(ok ? 0 : 1);
    }

    private boolean run() throws InterruptedException {
        for (ConfigObject object : DemoFleet.objects()) {
            writeWhenUp(object);
        }
        waitUntilServing();
        int failures = 0;
        System.out.printf(
                "%-6s %-34s %-7s %-18s %s%n", "method", "path", "status", "server", "via");
        for (HttpCall call : calls()) {
            for (Address daemon : mDaemons) {
                failures += show(daemon, call) ? 0 : 1;
            }
        }
        System.out.println(
                failures == 0 ? "demo: all requests answered" : "demo: " + failures + " failed");
        return failures == 0;
    }

    private static ImmutableList<HttpCall> calls() {
        return ImmutableList.of(
                HttpCall.of("GET", "/catalogue/amber-swirl"),
                HttpCall.of("POST", "/catalogue/amber-swirl", "{\"paid\":true}"),
                HttpCall.of("GET", "/catalogue/reef-blue"),
                HttpCall.of("GET", "/firing/schedule/monday"),
                HttpCall.of("GET", "/clefts/billet-1042"),
                HttpCall.of("POST", "/clefts/billet-1042", "{\"reserve\":true}"),
                HttpCall.of("GET", "/ledger/kiln-3"));
    }

    private void writeWhenUp(ConfigObject object) throws InterruptedException {
        JsonNode spec = Json.toTree(object);
        for (int i = 0; i < MAX_WAIT_SECONDS * 10; i++) {
            WriteResult result =
                    mApi.put(object.kind().path(), object.name(), 0, "demo", spec).join();
            if (result instanceof WriteResult.Written || result instanceof WriteResult.Conflict) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IllegalStateException("the platform stand-in did not answer");
    }

    private void waitUntilServing() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
        for (Address daemon : mDaemons) {
            for (HttpCall call : calls()) {
                while (!isAnswered(daemon, call) && System.nanoTime() - end < 0) {
                    TimeUnit.MILLISECONDS.sleep(100);
                }
            }
        }
    }

    private boolean isAnswered(Address daemon, HttpCall call) {
        return call.method().equals("POST")
                || mClient.call(daemon, call, TIMEOUT)
                        .handle((reply, error) -> error == null && reply.isOk())
                        .join();
    }

    private boolean show(Address daemon, HttpCall call) {
        HttpReply reply =
                mClient.call(daemon, call, TIMEOUT)
                        .exceptionally(error -> HttpReply.of(0, error.toString()))
                        .join();
        System.out.printf(
                "%-6s %-34s %-7d %-18s %s%n",
                call.method(),
                call.uri(),
                reply.status(),
                reply.headers().getOrDefault(HeaderNames.SERVER, reply.text().strip()),
                daemon);
        return reply.isOk();
    }
}
