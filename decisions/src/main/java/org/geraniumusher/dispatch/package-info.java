/** Estimates the load of backend servers and balances requests without a key among them. */
package org.geraniumusher.dispatch;
