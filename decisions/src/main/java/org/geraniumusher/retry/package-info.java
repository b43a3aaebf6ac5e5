/** Limits how many requests are sent again. */
package org.geraniumusher.retry;
