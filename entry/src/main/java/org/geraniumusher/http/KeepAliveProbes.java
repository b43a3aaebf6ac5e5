package org.geraniumusher.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;

import jdk.net.ExtendedSocketOptions;

/**
 * Enables TCP keep-alive with settings that detect an unresponsive peer within about three seconds.
 * Without probes, an idle connection whose peer lost power or network looks healthy until something
 * is sent on it. Stateless and thread-safe.
 */
public final class KeepAliveProbes {
    private static final ChannelOption<Integer> IDLE =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);
    private static final ChannelOption<Integer> INTERVAL =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);
    private static final ChannelOption<Integer> COUNT =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);

    /** Idle time of a connection before the first probe. */
    private static final int IDLE_SECONDS = 1;

    /** Time between unanswered probes. */
    private static final int INTERVAL_SECONDS = 1;

    /** Consecutive unanswered probes after which the kernel resets the connection. */
    private static final int MAX_UNANSWERED_PROBES = 2;

    private KeepAliveProbes() {}

    /** Enables keep-alive probes on connections of {@code bootstrap} and returns it. */
    public static Bootstrap enable(Bootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(IDLE, IDLE_SECONDS)
                .option(INTERVAL, INTERVAL_SECONDS)
                .option(COUNT, MAX_UNANSWERED_PROBES);
    }
}
