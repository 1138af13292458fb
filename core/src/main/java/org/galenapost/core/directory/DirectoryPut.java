package org.galenapost.core.directory;

import org.galenapost.core.peer.PeerMessage;

/** Stores the location of a running generation at the owner of its key. */
public record DirectoryPut(DirectoryKey key, DirectoryEntry entry) implements PeerMessage {}
