package org.galenapost.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the updates that are still to be sent. The number of times that an update is sent grows
 * with the logarithm of the number of daemons. Updates that were sent least often go first.
 */
final class UpdateQueue {

  private static final int SENDS_PER_LOG2_MEMBERS = 4;

  private final Map<String, Pending> pendingById = new HashMap<>();

  private record Pending(MemberRecord record, int sends) {}

  /** Adds an update and replaces an older one of the same daemon. */
  void add(MemberRecord update) {
    pendingById.put(update.id(), new Pending(update, 0));
  }

  /**
   * Returns the updates for one message and counts each as sent.
   *
   * @param limit the maximum number of updates
   * @param members the number of daemons
   */
  List<MemberRecord> take(int limit, int members) {
    int maxSends =
        SENDS_PER_LOG2_MEMBERS * (Integer.SIZE - Integer.numberOfLeadingZeros(members + 1));
    List<Pending> selected =
        pendingById.values().stream()
            .sorted(Comparator.comparingInt(Pending::sends))
            .limit(limit)
            .toList();
    List<MemberRecord> updates = new ArrayList<>();
    for (Pending pending : selected) {
      updates.add(pending.record());
      recordSend(pending, maxSends);
    }
    return updates;
  }

  private void recordSend(Pending pending, int maxSends) {
    String id = pending.record().id();
    if (pending.sends() + 1 >= maxSends) {
      pendingById.remove(id);
    } else {
      pendingById.put(id, new Pending(pending.record(), pending.sends() + 1));
    }
  }
}
