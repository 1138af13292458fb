/**
 * The HTTP port for operators: the routing table, the check of the operator token, and the routes
 * for status, health, metrics, traces, configuration, orders, actions and drains. It serves the
 * state of other packages and may depend on them; only the packages that compose a daemon may
 * depend on it.
 */
package org.galenapost.daemon.operator;
