/**
 * A TCP relay on loopback that the link and the balancer share. All its channels run on one event
 * loop. Depends on no other package of the module except {@code http}.
 */
package org.galenapost.standins.relay;
