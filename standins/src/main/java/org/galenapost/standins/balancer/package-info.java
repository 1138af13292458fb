/**
 * Load balancers of the platform. They distribute TCP connections over the daemons whose readiness
 * checks pass. Open connections stay with their daemon when its readiness changes.
 */
package org.galenapost.standins.balancer;
