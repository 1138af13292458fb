/**
 * Connections to servers. Connections are pooled and carry one call at a time; each failure states
 * whether the request was handed to a connection. Everything here runs on one event loop.
 */
package org.galenapost.daemon.gateway.upstream;
