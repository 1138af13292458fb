package org.galenapost.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts the consecutive periods without a message from each neighbour. */
final class SilenceTracker {

  private static final int MAX_ISOLATED_PERIODS = 10;

  private final Map<String, Integer> silentPeriodsById = new HashMap<>();
  private final Set<String> respondedIds = new HashSet<>();
  private int isolatedPeriods;

  void recordMessageFrom(String id) {
    respondedIds.add(id);
  }

  /** Ends a period in which heartbeats were sent to these neighbours. */
  void endPeriod(Collection<String> neighbours) {
    silentPeriodsById.keySet().retainAll(neighbours);
    for (String neighbour : neighbours) {
      if (respondedIds.contains(neighbour)) {
        silentPeriodsById.put(neighbour, 0);
      } else {
        silentPeriodsById.merge(neighbour, 1, Integer::sum);
      }
    }
    respondedIds.clear();
    boolean isIsolatedNow =
        silentPeriodsById.size() > 1
            && silentPeriodsById.values().stream().allMatch(periods -> periods > 0);
    isolatedPeriods = isIsolatedNow ? isolatedPeriods + 1 : 0;
  }

  int silentPeriods(String id) {
    return silentPeriodsById.getOrDefault(id, 0);
  }

  /**
   * Returns whether none of several neighbours responded in the last period, so that the fault may
   * be local. After a maximum number of such periods it returns false, so that the neighbours can
   * be suspected.
   */
  boolean isIsolated() {
    return isolatedPeriods > 0 && isolatedPeriods <= MAX_ISOLATED_PERIODS;
  }

  /** Clears all counts after this process was stalled. */
  void reset() {
    isolatedPeriods = 0;
    silentPeriodsById.clear();
    respondedIds.clear();
  }
}
