/** Decides whether a request is sent again, and when a second copy is sent early. */
package org.geraniumusher.retry;
