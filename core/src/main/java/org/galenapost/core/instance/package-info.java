/**
 * The running servers behind the gateway, with one instance for each start of a server. The package
 * depends on configuration, from which it receives the entries, on JSON, platform reachability and
 * time.
 */
package org.galenapost.core.instance;
