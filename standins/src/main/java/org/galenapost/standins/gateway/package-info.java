/**
 * Stand-ins for the systems around a gateway on the users' platform: the store and the backend
 * servers. The servers seal their responses, stream numbered events and back up their KV cache.
 * Tests start the stand-ins in their own process.
 */
package org.galenapost.standins.gateway;
