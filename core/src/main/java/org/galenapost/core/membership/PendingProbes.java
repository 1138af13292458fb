package org.galenapost.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tracks the daemons that requested an indirect probe, for a bounded number of targets. */
final class PendingProbes {

  private static final int MAX_TARGETS = 64;

  private final Map<String, Set<String>> requestersByTarget = new HashMap<>();

  void add(String targetId, String requesterId) {
    if (requestersByTarget.size() >= MAX_TARGETS) {
      requestersByTarget.clear();
    }
    requestersByTarget.computeIfAbsent(targetId, id -> new HashSet<>()).add(requesterId);
  }

  /** Removes and returns the daemons that requested a probe of this target. */
  Set<String> removeRequesters(String targetId) {
    Set<String> requesters = requestersByTarget.remove(targetId);
    return requesters == null ? Set.of() : requesters;
  }
}
