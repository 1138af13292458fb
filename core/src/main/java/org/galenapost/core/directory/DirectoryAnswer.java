package org.galenapost.core.directory;

import java.util.Optional;
import org.galenapost.core.peer.PeerMessage;

/** Answers a {@link DirectoryQuery}; the entry is empty if the daemon has none for the key. */
public record DirectoryAnswer(long queryId, Optional<DirectoryEntry> entry)
    implements PeerMessage {}
