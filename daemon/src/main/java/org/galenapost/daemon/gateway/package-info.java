/**
 * The gateway: takes calls for many services by host and path, and sends each to a server of its
 * service. It depends on core's decisions and the daemon's plumbing; how calls and answers are
 * spelled on the wire comes in through {@link org.galenapost.daemon.gateway.call.CallFormat}.
 */
package org.galenapost.daemon.gateway;
