/**
 * Stand-ins for the external systems of a test: the platform, model engines, plain services,
 * network links and the load balancer. Each one is a subcommand of one program. This module depends
 * on no other module of the project.
 */
package org.galenapost.standins;
