package org.galenapost.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the losses for which a part of a prompt is suspect. Not safe for use by several threads.
 */
final class SuspectIndex {

  private static final int EXPECTED_LOSSES = 1;

  private final Map<String, List<PartLoss>> lossesByPart = new HashMap<>();
  private final int minLosses;
  private int suspectCount;
  private int repeatedSuspectCount;

  /**
   * Creates an index without losses.
   *
   * @param minLosses the losses from which on a part is a repeated suspect
   */
  SuspectIndex(int minLosses) {
    this.minLosses = minLosses;
  }

  /** Makes a part suspect of a loss and returns whether it was not. */
  boolean add(String partId, PartLoss loss) {
    boolean isNew = loss.suspectPartIds().add(partId);
    if (isNew) {
      List<PartLoss> losses =
          lossesByPart.computeIfAbsent(partId, key -> new ArrayList<>(EXPECTED_LOSSES));
      losses.add(loss);
      suspectCount++;
      repeatedSuspectCount += losses.size() == minLosses ? 1 : 0;
    }
    return isNew;
  }

  /** Clears a part and returns whether it was suspect. */
  boolean clear(String partId) {
    List<PartLoss> cleared = lossesByPart.remove(partId);
    if (cleared == null) {
      return false;
    }
    cleared.forEach(loss -> loss.suspectPartIds().remove(partId));
    suspectCount -= cleared.size();
    repeatedSuspectCount -= cleared.size() >= minLosses ? 1 : 0;
    return true;
  }

  /** Removes a loss. */
  void remove(PartLoss loss) {
    for (String partId : loss.suspectPartIds()) {
      List<PartLoss> others = lossesByPart.get(partId);
      repeatedSuspectCount -= others.size() == minLosses ? 1 : 0;
      others.remove(loss);
      if (others.isEmpty()) {
        lossesByPart.remove(partId);
      }
    }
    suspectCount -= loss.suspectPartIds().size();
  }

  /** Returns the losses for which a part is suspect, in the order in which they became known. */
  List<PartLoss> lossesOf(String partId) {
    return lossesByPart.getOrDefault(partId, List.of());
  }

  /** Returns the number of losses for which a part is suspect. */
  int lossCount(String partId) {
    return lossesOf(partId).size();
  }

  /** Returns whether any part is a repeated suspect. */
  boolean hasRepeatedSuspect() {
    return repeatedSuspectCount > 0;
  }

  /** Returns the number of suspect parts, summed over the losses. */
  int suspectCount() {
    return suspectCount;
  }
}
