/**
 * Stand-ins for what surrounds a gateway on the users' platform: its store, and servers that seal
 * their answers, stream numbered events and copy their memory. Tests start them in their own
 * process.
 */
package org.galenapost.standins.gateway;
