package org.galenapost.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Remembers who asked for a probe of which daemon, within a bound. */
final class PendingProbes {

  private static final int MAX_TARGETS = 64;

  private final Map<String, Set<String>> askersByTarget = new HashMap<>();

  void add(String targetId, String askerId) {
    if (askersByTarget.size() >= MAX_TARGETS) {
      askersByTarget.clear();
    }
    askersByTarget.computeIfAbsent(targetId, id -> new HashSet<>()).add(askerId);
  }

  /** Returns who waited for a sign of life of this daemon, and forgets them. */
  Set<String> removeRequesters(String targetId) {
    Set<String> askers = askersByTarget.remove(targetId);
    return askers == null ? Set.of() : askers;
  }
}
