/**
 * Decides which backend server owns which slice: coordinator, authority, grants, moves and the
 * backend server's side of a grant. Section 4 of the design page is the specification.
 */
package org.geraniumusher.ownership;
