package org.galenapost.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts for each neighbour the periods that passed without a sign of life. */
final class SilenceTracker {

  private static final int MAX_DEAF_PERIODS = 10;

  private final Map<String, Integer> silentPeriodsById = new HashMap<>();
  private final Set<String> heardIds = new HashSet<>();
  private int deafPeriods;

  void recordMessageFrom(String id) {
    heardIds.add(id);
  }

  /** Ends a period in which heartbeats went to these neighbours. */
  void endPeriod(Collection<String> neighbours) {
    silentPeriodsById.keySet().retainAll(neighbours);
    for (String neighbour : neighbours) {
      if (heardIds.contains(neighbour)) {
        silentPeriodsById.put(neighbour, 0);
      } else {
        silentPeriodsById.merge(neighbour, 1, Integer::sum);
      }
    }
    heardIds.clear();
    boolean isDeafNow =
        silentPeriodsById.size() > 1
            && silentPeriodsById.values().stream().allMatch(periods -> periods > 0);
    deafPeriods = isDeafNow ? deafPeriods + 1 : 0;
  }

  int silentPeriods(String id) {
    return silentPeriodsById.getOrDefault(id, 0);
  }

  /**
   * Returns whether none of several neighbours gave a sign of life lately, so that the fault may be
   * here; after a while of it the neighbours are judged all the same.
   */
  boolean isIsolated() {
    return deafPeriods > 0 && deafPeriods <= MAX_DEAF_PERIODS;
  }

  /** Forgets what was counted, because this process itself was stalled. */
  void reset() {
    deafPeriods = 0;
    silentPeriodsById.clear();
    heardIds.clear();
  }
}
