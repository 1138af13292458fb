/**
 * Load information of a daemon: its subset of the backend servers, the polls of the subset's
 * engines, and the metrics of routing, admission and retries. It provides input for the decisions
 * of {@code core.routing}.
 */
package org.galenapost.daemon.load;
