/**
 * The HTTP client of model engines. It starts, attaches to, cancels and probes attempts, sends
 * orders and decodes streams of server-sent events. It depends on the network package and on core.
 */
package org.galenapost.daemon.engine;
