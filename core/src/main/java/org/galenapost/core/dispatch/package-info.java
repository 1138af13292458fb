/**
 * Placement of gateway calls on servers: the use of each server as reported by all daemons, recent
 * server failures, the choice of servers for runs and for copies of their memory, and the limit on
 * retries. The package depends on instances, peers, prompts, routes and time.
 */
package org.galenapost.core.dispatch;
