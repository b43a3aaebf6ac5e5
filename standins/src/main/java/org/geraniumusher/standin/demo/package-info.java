/** Fills the stand-in of the platform with a small version of both deployments and calls them. */
package org.geraniumusher.standin.demo;
