package org.geraniumusher.routing;

import java.util.Optional;

/**
 * Gives the parts of a request that routing needs. Implementations are not changed while a decision
 * uses them.
 */
public interface RequestHead {
    /** Returns the method in upper case. */
    String method();

    /** Returns the host without a port, in lower case, or "" when the request names none. */
    String host();

    /** Returns the path with the query, as sent. */
    String uri();

    /** Returns the first value of a header field; the name is not case-sensitive. */
    Optional<String> header(String name);
}
