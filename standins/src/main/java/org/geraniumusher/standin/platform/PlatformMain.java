package org.geraniumusher.standin.platform;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.model.Address;

/** Runs the stand-in of the platform as a process: {@code PlatformMain HOST:PORT}. */
public final class PlatformMain {
    private PlatformMain() {}

    /** Starts the server and returns; the event loops keep the process alive. */
    public static void main(String[] args) {
        Address address = Address.of(args[0]);
        PlatformServer.start(
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()),
                address.host(),
                address.port());
        System.out.println("platform stand-in: listening on " + address);
    }
}
