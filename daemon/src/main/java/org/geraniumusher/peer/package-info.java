/** Exchanges messages between daemons: protobuf in UDP datagrams and, where large, over TCP. */
package org.geraniumusher.peer;
