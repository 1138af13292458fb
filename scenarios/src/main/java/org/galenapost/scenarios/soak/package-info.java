/**
 * A randomized soak test of the gateway. It runs daemons as separate processes, injects faults from
 * outside while callers send requests, and checks what callers and servers observed. It depends on
 * the stand-ins and the process runner, and does not implement the platform protocol itself.
 */
package org.galenapost.scenarios.soak;
