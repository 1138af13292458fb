/**
 * The message bus between daemons. It sends MessagePack messages in length-prefixed frames over
 * TCP, after a handshake in which both sides prove that they know the peer secret. It depends on
 * the message types of core and on the daemon's services.
 */
package org.galenapost.daemon.peer;
