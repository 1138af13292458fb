/**
 * Structured logging: each event is one line of {@code key=value} pairs. This package depends on no
 * other package of the project.
 */
package org.galenapost.daemon.log;
