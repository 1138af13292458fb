/**
 * The caller side of the gateway: connections of callers, validation of requests before they are
 * sent to a server, and responses.
 */
package org.galenapost.daemon.gateway.front;
