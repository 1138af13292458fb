/**
 * Starts child processes, reads their output and sends them signals. This package depends on no
 * other package.
 */
package org.galenapost.scenarios.process;
