/**
 * The side of the gateway that faces callers: connections, the checks that each request passes
 * before it may be sent, and answers.
 */
package org.galenapost.daemon.gateway.front;
