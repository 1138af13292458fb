/**
 * The gateway: a reverse proxy that takes calls for many services, selects the service by host and
 * path, and sends each call to a server of its service. It depends on the decisions in core and on
 * the transport, settings and logging of the daemon. The wire format of a platform comes in through
 * {@link org.galenapost.daemon.gateway.call.CallFormat}, so this package knows none of its names.
 */
package org.galenapost.daemon.gateway;
