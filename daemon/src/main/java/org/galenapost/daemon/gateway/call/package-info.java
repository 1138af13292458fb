/**
 * Calls, sends and responses as types of the gateway that are independent of the wire format of a
 * platform. The other packages of the gateway depend on this one; it depends on core only.
 */
package org.galenapost.daemon.gateway.call;
