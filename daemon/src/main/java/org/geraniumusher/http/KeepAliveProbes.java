package org.geraniumusher.http;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;

import jdk.net.ExtendedSocketOptions;

/**
 * TCP keep-alive settings that find a silent peer within about three seconds. A connection whose
 * peer lost power or was cut off otherwise looks healthy until something is sent on it.
 */
public final class KeepAliveProbes {
    /** Option for the idle time before the first probe, in seconds. */
    public static final ChannelOption<Integer> IDLE =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE);

    /** Option for the time between probes, in seconds. */
    public static final ChannelOption<Integer> INTERVAL =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL);

    /** Option for the number of probes without an answer that end a connection. */
    public static final ChannelOption<Integer> COUNT =
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT);

    /** Idle time before the first probe. */
    public static final int IDLE_SECONDS = 1;

    /** Time between probes. */
    public static final int INTERVAL_SECONDS = 1;

    /** Probes without an answer that end a connection. */
    public static final int MAX_LOST = 2;

    private KeepAliveProbes() {}
}
