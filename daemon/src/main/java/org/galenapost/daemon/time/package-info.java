/** The daemon's implementation of the time interfaces. It depends on core's time package. */
package org.galenapost.daemon.time;
