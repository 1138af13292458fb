/**
 * Relays calls to plain services: attempts, verdicts, retries and claims. It depends on the caller
 * and net packages and on core's action, routing and retry packages.
 */
package org.galenapost.daemon.relay;
