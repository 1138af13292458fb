/** The daemon's metrics, based on Micrometer. It depends on refusals and the log. */
package org.galenapost.daemon.metrics;
