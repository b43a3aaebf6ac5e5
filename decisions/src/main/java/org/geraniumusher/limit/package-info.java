/** Keeps the whole fleet within the requests per second that a backend server takes. */
package org.geraniumusher.limit;
