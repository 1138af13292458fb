package org.galenapost.core.quarantine;

import org.galenapost.core.peer.PeerMessage;

/** Requests the recent losses of another daemon, with their suspect parts. */
public record PartLossQuery() implements PeerMessage {}
