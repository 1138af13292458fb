package org.galenapost.core.quarantine;

import org.galenapost.core.peer.PeerMessage;

/** Requests all suspicions of another daemon. */
public record SuspicionQuery() implements PeerMessage {}
