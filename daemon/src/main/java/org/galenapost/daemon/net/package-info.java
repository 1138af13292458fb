/**
 * Network utilities: IP addresses, shared event loops, HTTP clients and keep-alive options. It
 * depends on services only.
 */
package org.galenapost.daemon.net;
