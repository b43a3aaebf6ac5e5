package org.geraniumusher.standin.backend;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.model.Address;

/**
 * Runs stand-ins of backend servers in one process: {@code BackendMain NAME=HOST:PORT...}. The
 * incarnation is the start time in milliseconds.
 */
public final class BackendMain {
    private BackendMain() {}

    /** Starts the servers and returns; the event loops keep the process alive. */
    public static void main(String[] args) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        for (String arg : args) {
            int equals = arg.indexOf('=');
            String name = arg.substring(0, equals);
            Address address = Address.of(arg.substring(equals + 1));
            BackendStandIn.start(
                    group,
                    address,
                    name,
                    BackendBehaviour.ofDefaults(),
                    System.currentTimeMillis());
        }
        System.out.println("backend stand-in: " + args.length + " servers are listening");
    }
}
