package org.galenapost.core.directory;

import org.galenapost.core.peer.PeerMessage;

/** Requests the location of a running generation. */
public record DirectoryQuery(long queryId, DirectoryKey key) implements PeerMessage {}
