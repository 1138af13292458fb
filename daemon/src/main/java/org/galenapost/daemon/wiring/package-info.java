/**
 * Composes the daemon from its parts by constructor injection, with one class per area. It may
 * depend on every other package. Only the main class and the experiments that replace mechanisms
 * depend on it.
 */
package org.galenapost.daemon.wiring;
