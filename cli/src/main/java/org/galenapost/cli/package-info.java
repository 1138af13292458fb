/**
 * The command-line tool for operators: its options, the client of a daemon's operator port and the
 * output. Depends on the core module only, for JSON, configuration types and the monotonic clock.
 */
package org.galenapost.cli;
