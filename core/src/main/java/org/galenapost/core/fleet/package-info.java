/**
 * The backend servers of the fleet, as one daemon sees them. Routing, orders and recovery depend on
 * this package. It depends on no other package.
 */
package org.galenapost.core.fleet;
