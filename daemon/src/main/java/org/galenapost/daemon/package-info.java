/**
 * The program {@code galenapostd}. It parses the command line, reads the settings, starts the
 * daemon, and drains and stops it on SIGTERM.
 */
package org.galenapost.daemon;
