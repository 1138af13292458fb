/** Calls, sends and answers as the gateway sees them, free of the wire's names. */
package org.galenapost.daemon.gateway.call;
