/**
 * A TCP proxy between two processes that injects network faults: it can hold bytes back, delay
 * them, drop responses and reset connections. Its faults are set over a separate HTTP port.
 */
package org.galenapost.standins.link;
