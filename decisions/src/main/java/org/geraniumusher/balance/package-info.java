/** Decides which slices of a keyed service move, and which hot keys become slices of their own. */
package org.geraniumusher.balance;
