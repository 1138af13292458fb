/**
 * The caller port: connections, exchanges and the filter chain. It depends on the http, explain,
 * lifecycle and log packages and on core.
 */
package org.galenapost.daemon.caller;
