package org.geraniumusher.http;

import io.netty.channel.socket.SocketChannel;

/** A protocol that shares the port of an {@link HttpServer}, whose connections it takes over. */
public interface OtherProtocol {
    /** Returns the bytes with which its connections begin, and no HTTP request does. */
    byte[] preface();

    /** Configures each accepted connection, before it is known which protocol it uses. */
    void configure(SocketChannel channel);

    /** Adds the handlers of a connection whose preface was read, on its event loop. */
    void initialize(SocketChannel channel);
}
