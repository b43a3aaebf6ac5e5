/**
 * HTTP/1.1 client and server on Netty for control traffic, and the TCP listener, keep-alive
 * settings and request decoder that the forwarding path shares with them.
 */
package org.geraniumusher.http;
