package org.galenapost.core.peer;

/**
 * A message between daemons. Each implementation is a record in the package of its topic. The peer
 * codec of the daemon module maps each to its wire name.
 */
public interface PeerMessage {}
