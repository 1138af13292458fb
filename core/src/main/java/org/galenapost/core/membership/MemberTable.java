package org.galenapost.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The records of the other daemons, each with the time of its last status change. */
final class MemberTable {

  private static final long DIGEST_PRIME = 0x9e3779b97f4a7c15L;

  private final Map<String, Entry> entriesById = new HashMap<>();
  private long revision;
  private long digestRevision = -1;
  private long digestOfOthers;

  /**
   * The entry of one daemon.
   *
   * @param record the membership record
   * @param sinceNanos when the status was set, in nanoseconds of the monotonic clock
   */
  record Entry(MemberRecord record, long sinceNanos) {}

  Optional<MemberRecord> find(String id) {
    return Optional.ofNullable(entriesById.get(id)).map(Entry::record);
  }

  void put(MemberRecord record, long nowNanos) {
    entriesById.put(record.id(), new Entry(record, nowNanos));
    revision++;
  }

  void remove(String id) {
    entriesById.remove(id);
    revision++;
  }

  List<Entry> entries() {
    return List.copyOf(entriesById.values());
  }

  List<MemberRecord> records() {
    return entriesById.values().stream().map(Entry::record).toList();
  }

  List<Entry> withStatus(MemberStatus status) {
    return entriesById.values().stream()
        .filter(entry -> entry.record().status() == status)
        .toList();
  }

  Set<String> liveIds() {
    return entriesById.values().stream()
        .map(Entry::record)
        .filter(record -> record.status().isLive())
        .map(MemberRecord::id)
        .collect(Collectors.toUnmodifiableSet());
  }

  int recentlyLiveCount(Duration time, long nowNanos) {
    return (int)
        entriesById.values().stream()
            .filter(
                entry ->
                    entry.record().status().isLive()
                        || nowNanos - entry.sinceNanos() <= time.toNanos())
            .count();
  }

  /** Restarts the suspicion timeout of every suspected daemon. */
  void restartSuspicions(long nowNanos) {
    for (Entry entry : new ArrayList<>(withStatus(MemberStatus.SUSPECTED))) {
      entriesById.put(entry.record().id(), new Entry(entry.record(), nowNanos));
    }
  }

  /** Marks every daemon as lost whose suspicion timeout has passed. */
  void expireSuspicions(Duration timeout, long nowNanos) {
    for (Entry entry : withStatus(MemberStatus.SUSPECTED)) {
      if (nowNanos - entry.sinceNanos() >= timeout.toNanos()) {
        put(entry.record().withStatus(MemberStatus.LOST), nowNanos);
      }
    }
  }

  /** Removes daemons that have not been live for this long and are not on the host list. */
  void forgetLost(Set<String> listedIds, Duration forgetAfter, long nowNanos) {
    for (Entry entry : entries()) {
      MemberRecord record = entry.record();
      boolean isExpired = nowNanos - entry.sinceNanos() >= forgetAfter.toNanos();
      if (isExpired && !record.status().isLive() && !listedIds.contains(record.id())) {
        remove(record.id());
      }
    }
  }

  /** Returns the revision, which increases with every change of the table. */
  long revision() {
    return revision;
  }

  /** Returns the digest of the alive daemons, this one included. */
  long digest(MemberRecord self) {
    if (digestRevision != revision) {
      digestOfOthers =
          entriesById.values().stream()
              .map(Entry::record)
              .filter(record -> record.status() == MemberStatus.ALIVE)
              .mapToLong(MemberTable::digestOf)
              .sum();
      digestRevision = revision;
    }
    return digestOfOthers + digestOf(self);
  }

  private static long digestOf(MemberRecord record) {
    return NeighbourRings.position(record.id(), 0) * (record.incarnation() * DIGEST_PRIME + 1);
  }
}
