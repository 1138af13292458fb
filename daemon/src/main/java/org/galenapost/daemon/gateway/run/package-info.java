/**
 * The execution of one call, from the first send to the end of the response, with retries and
 * stream resumption on other servers. All classes of this package are used on one event loop. Only
 * the gateway's own packages depend on it.
 */
package org.galenapost.daemon.gateway.run;
