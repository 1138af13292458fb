/**
 * Interfaces for elapsed time, scheduling and random numbers, so that tests can use a virtual clock
 * and a fixed seed. Wall-clock time is read through {@link java.time.InstantSource}. Every other
 * package may depend on this one.
 */
package org.galenapost.core.time;
