/** Speaks with backend servers: pooled HTTP/1.1 connections with streaming bodies. */
package org.geraniumusher.backend;
