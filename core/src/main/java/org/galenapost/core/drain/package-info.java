/**
 * Draining backend servers and returning them to service. An operator's order is broadcast to all
 * daemons at once and written to the platform as soon as the platform answers. An accepted change
 * of the same server always overrides it. The package depends on configuration, fleet, JSON, time
 * and the peer bus.
 */
package org.galenapost.core.drain;
