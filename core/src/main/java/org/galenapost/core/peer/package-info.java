/**
 * The interface for messages between daemons. Each topic defines its messages in its own package.
 * The daemon module implements transport and codec.
 */
package org.galenapost.core.peer;
