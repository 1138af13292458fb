/**
 * The partition of a large fleet into cells, which keeps the traffic between daemons from growing
 * with the fleet. The package depends on instances and peers only.
 */
package org.galenapost.core.cell;
