package org.galenapost.core.quarantine;

import java.util.Set;
import org.galenapost.core.verdict.Refusal;

/** The servers on which a request may run. */
public sealed interface Placement {

  /** The request may run on any server. */
  record Anywhere() implements Placement {}

  /**
   * The request may run only on a server without another suspect.
   *
   * @param claimedServerIds the servers on which other suspects run
   * @param provenFromOffset the offset from which the request is no longer isolated
   */
  record Isolated(Set<String> claimedServerIds, int provenFromOffset) implements Placement {

    /** Copies the servers. */
    public Isolated {
      claimedServerIds = Set.copyOf(claimedServerIds);
    }
  }

  /** The request may not run at all; the refusal is final. */
  record Refused(Refusal refusal) implements Placement {}
}
