/** Where a request is sent next: load of backend servers, choice among them, cold servers. */
package org.geraniumusher.dispatch;
