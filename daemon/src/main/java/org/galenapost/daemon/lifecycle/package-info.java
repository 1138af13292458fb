/** The daemon's lifecycle: readiness, draining, stopping and signals. It depends on logs only. */
package org.galenapost.daemon.lifecycle;
