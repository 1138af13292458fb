package org.galenapost.core.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenapost.core.time.MonotonicClock;

/**
 * The recent losses of servers, each with the suspect parts of the prompts that the server had not
 * yet begun to answer. A part is suspect until a server answers a request with it.
 *
 * <p>A part is the cause of losses if at least {@value #MIN_LOSSES} count against it. A loss does
 * not count if it is explained by another part with as many losses, unless the request in question
 * holds both. Losses that happen together count once, and the loss of several servers at once
 * counts for no part that was absent from two of them. Not safe for use by several threads.
 */
final class PartLosses {

  /** One loss may be chance, and two may be another fault of the same servers. */
  private static final int MIN_LOSSES = 3;

  private static final int MIN_UNEXPLAINED_SERVERS = 2;

  /** Losses that are closer than this are one event, such as the loss of a rack. */
  private static final Duration SAME_EVENT = Duration.ofMillis(200);

  /**
   * The time after which a loss counts. By then every daemon with a request on the server has found
   * out whether the server is down, and has reported its parts.
   */
  static final Duration SETTLING_TIME = Duration.ofMillis(250);

  /** How far apart daemons notice the loss of several servers at once. */
  private static final Duration MASS_LOSS_WINDOW = Duration.ofMillis(500);

  private static final Duration MAX_AGE = Duration.ofMinutes(10);
  private static final int MAX_LOSSES = 1_000;

  /** Bounds the memory that long lists of parts take, about 2 MB. */
  private static final int MAX_SUSPECT_PARTS = 20_000;

  private final MonotonicClock clock;
  private final Map<String, Loss> losses = new LinkedHashMap<>();
  private final Map<String, Long> clearedAtNanos = new LinkedHashMap<>();

  private record Loss(long atNanos, Set<String> suspectPartIds) {

    boolean isWithin(Duration window, Loss other) {
      return Math.abs(atNanos - other.atNanos) <= window.toNanos();
    }

    boolean explains(String partId) {
      return suspectPartIds.contains(partId);
    }
  }

  PartLosses(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Adds the loss of a server, or further suspect parts of a known loss. Parts that have been
   * cleared since are not suspect.
   *
   * @param serverId the server
   * @param partIds the parts that the server had not begun to answer
   * @param age how long ago the loss was noticed
   * @return whether the loss or one of the parts is new
   */
  boolean add(String serverId, Collection<String> partIds, Duration age) {
    removeOld();
    Loss known = losses.get(serverId);
    Loss loss = known == null ? new Loss(clock.nanos() - age.toNanos(), new HashSet<>()) : known;
    losses.put(serverId, loss);
    List<String> suspects =
        partIds.stream().filter(partId -> !isClearedSince(loss.atNanos, partId)).toList();
    return loss.suspectPartIds.addAll(suspects) || known == null;
  }

  private boolean isClearedSince(long lossNanos, String partId) {
    Long clearedNanos = clearedAtNanos.get(partId);
    return clearedNanos != null && clearedNanos - lossNanos >= 0;
  }

  /** Returns the given parts that have been cleared since a loss. */
  Set<String> clearedSince(Duration lossAge, Collection<String> partIds) {
    long lossNanos = clock.nanos() - lossAge.toNanos();
    return partIds.stream()
        .filter(partId -> isClearedSince(lossNanos, partId))
        .collect(Collectors.toUnmodifiableSet());
  }

  private void removeOld() {
    losses.values().removeIf(loss -> clock.since(loss.atNanos).compareTo(MAX_AGE) > 0);
    clearedAtNanos.values().removeIf(nanos -> clock.since(nanos).compareTo(MAX_AGE) > 0);
    while (losses.size() >= MAX_LOSSES || suspectPartCount() >= MAX_SUSPECT_PARTS) {
      losses.remove(losses.keySet().iterator().next());
    }
  }

  private int suspectPartCount() {
    return losses.values().stream().mapToInt(loss -> loss.suspectPartIds.size()).sum();
  }

  /**
   * Clears parts of all suspicion.
   *
   * @return the parts that were suspect
   */
  Set<String> clear(Collection<String> partIds) {
    Set<String> cleared = new HashSet<>();
    if (clearedAtNanos.size() >= MAX_SUSPECT_PARTS) {
      clearedAtNanos.clear();
    }
    for (Loss loss : losses.values()) {
      for (String partId : partIds) {
        if (loss.suspectPartIds.remove(partId)) {
          cleared.add(partId);
          clearedAtNanos.put(partId, clock.nanos());
        }
      }
    }
    return cleared;
  }

  /**
   * Returns the part of a request that is the cause of losses, if there is one. If the losses do
   * not tell parts of the request apart, the last one is returned, which the fewest requests share.
   */
  Optional<String> causeAmong(Collection<String> partIds) {
    return losses.isEmpty()
        ? Optional.empty()
        : partIds.stream()
            .filter(partId -> isCause(partId, partIds))
            .reduce((kept, next) -> countedServers(next) >= countedServers(kept) ? next : kept);
  }

  private boolean isCause(String partId, Collection<String> partIdsOfRequest) {
    List<Loss> counted = countedLosses(partId);
    if (eventCount(counted) < MIN_LOSSES) {
      return false;
    }
    List<Loss> unexplained =
        counted.stream()
            .filter(loss -> !isExplainedByOther(loss, counted.size(), partIdsOfRequest))
            .toList();
    return eventCount(unexplained) >= MIN_LOSSES;
  }

  /** Returns whether a part that the request lacks counts at least as many losses. */
  private boolean isExplainedByOther(
      Loss loss, int countedLosses, Collection<String> partIdsOfRequest) {
    return loss.suspectPartIds.stream()
        .filter(other -> !partIdsOfRequest.contains(other))
        .anyMatch(other -> countedLosses(other).size() >= countedLosses);
  }

  /** Returns the losses that count against a part, the oldest first. */
  private List<Loss> countedLosses(String partId) {
    return losses.values().stream()
        .filter(loss -> loss.explains(partId) && isSettled(loss) && !isMassLoss(loss, partId))
        .sorted(Comparator.comparingLong(Loss::atNanos))
        .toList();
  }

  private boolean isSettled(Loss loss) {
    return clock.since(loss.atNanos).compareTo(SETTLING_TIME) >= 0;
  }

  private boolean isMassLoss(Loss loss, String partId) {
    long unexplained =
        losses.values().stream()
            .filter(other -> other.isWithin(MASS_LOSS_WINDOW, loss) && !other.explains(partId))
            .count();
    return unexplained >= MIN_UNEXPLAINED_SERVERS;
  }

  private static int eventCount(List<Loss> counted) {
    int events = 0;
    Loss last = null;
    for (Loss loss : counted) {
      if (last == null || !loss.isWithin(SAME_EVENT, last)) {
        events++;
        last = loss;
      }
    }
    return events;
  }

  /** Returns whether a suspect part of a lost server is the cause of its loss. */
  boolean isExplained(String serverId) {
    Loss loss = losses.get(serverId);
    return loss != null && causeAmong(loss.suspectPartIds).isPresent();
  }

  /** Returns the number of servers that count against a part. */
  int countedServers(String partId) {
    return countedLosses(partId).size();
  }

  /** Returns a report of each loss for which one of the given parts is suspect. */
  List<PartLossReport> reportsOf(Set<String> partIds) {
    return losses.entrySet().stream()
        .filter(entry -> !Collections.disjoint(entry.getValue().suspectPartIds, partIds))
        .map(
            entry ->
                new PartLossReport(
                    entry.getKey(),
                    entry.getValue().suspectPartIds,
                    clock.since(entry.getValue().atNanos).toMillis()))
        .toList();
  }
}
