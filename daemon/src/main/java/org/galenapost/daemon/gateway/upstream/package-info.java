/**
 * Connections to servers: kept open and reused, one call at a time on each, with an exact account
 * of what was handed to a connection. Everything here runs on one event loop.
 */
package org.galenapost.daemon.gateway.upstream;
