package org.galenapost.core.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.galenapost.core.time.MonotonicClock;

/**
 * The recent losses of servers, each with the suspect parts of the prompts that the server had not
 * yet begun to answer. A part is suspect until a server answers a request with it.
 *
 * <p>A part is the cause of losses if at least three count against it. A loss does not count if it
 * is explained by another part with as many losses, unless the request in question holds both.
 * Losses that happen together count once, and the loss of several servers at once counts for no
 * part that was absent from two of them. Not safe for use by several threads.
 */
final class PartLosses {

  /**
   * The time after which a loss counts. By then every daemon with a request on the server has found
   * out whether the server is down, and has reported its parts.
   */
  static final Duration SETTLING_TIME = Duration.ofMillis(250);

  private static final Duration MAX_AGE = Duration.ofMinutes(10);
  private static final int MAX_LOSSES = 1_000;

  /** Bounds the memory that long lists of parts take. */
  private static final int MAX_SUSPECT_PARTS = 20_000;

  private final MonotonicClock clock;
  private final Map<String, PartLoss> losses = new LinkedHashMap<>();
  private final SuspectIndex suspects = new SuspectIndex(LossAttribution.MIN_LOSSES);
  private final Map<String, Long> clearedAtNanos = new LinkedHashMap<>();

  /** Empty after a change of the losses, until it is needed. */
  private Optional<LossAttribution> attribution = Optional.empty();

  /** When the next loss counts that does not count in the attribution. */
  private OptionalLong nextSettledNanos = OptionalLong.empty();

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
    PartLoss known = losses.get(serverId);
    PartLoss loss = known == null ? new PartLoss(clock.nanos() - age.toNanos()) : known;
    losses.put(serverId, loss);
    boolean isChanged = known == null;
    for (String partId : partIds) {
      if (!isClearedSince(loss.atNanos(), partId)) {
        isChanged = suspects.add(partId, loss) || isChanged;
      }
    }
    if (isChanged) {
      attribution = Optional.empty();
    }
    return isChanged;
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
    clearedAtNanos.values().removeIf(nanos -> clock.since(nanos).compareTo(MAX_AGE) > 0);
    removeIf(loss -> clock.since(loss.atNanos()).compareTo(MAX_AGE) > 0);
    removeIf(loss -> isFull());
  }

  /** Removes losses in the order in which they became known. */
  private void removeIf(Predicate<PartLoss> condition) {
    Iterator<PartLoss> remaining = losses.values().iterator();
    while (remaining.hasNext()) {
      PartLoss loss = remaining.next();
      if (condition.test(loss)) {
        remaining.remove();
        suspects.remove(loss);
        attribution = Optional.empty();
      }
    }
  }

  private boolean isFull() {
    return losses.size() >= MAX_LOSSES || suspects.suspectCount() >= MAX_SUSPECT_PARTS;
  }

  /**
   * Clears parts of all suspicion.
   *
   * @return the parts that were suspect
   */
  Set<String> clear(Collection<String> partIds) {
    if (clearedAtNanos.size() >= MAX_SUSPECT_PARTS) {
      clearedAtNanos.clear();
    }
    Set<String> cleared = new HashSet<>();
    for (String partId : partIds) {
      if (suspects.clear(partId)) {
        cleared.add(partId);
        clearedAtNanos.put(partId, clock.nanos());
      }
    }
    if (!cleared.isEmpty()) {
      attribution = Optional.empty();
    }
    return cleared;
  }

  /**
   * Returns the part of a request that is the cause of losses, if there is one. If the losses do
   * not tell parts of the request apart, the last one is returned, which the fewest requests share.
   */
  Optional<String> causeAmong(Collection<String> partIds) {
    return suspects.hasRepeatedSuspect() ? attribution().causeAmong(partIds) : Optional.empty();
  }

  private LossAttribution attribution() {
    long nowNanos = clock.nanos();
    boolean isLossSettled =
        nextSettledNanos.isPresent() && nowNanos - nextSettledNanos.getAsLong() >= 0;
    if (attribution.isEmpty() || isLossSettled) {
      long settledNanos = nowNanos - SETTLING_TIME.toNanos();
      attribution = Optional.of(new LossAttribution(losses.values(), suspects, settledNanos));
      nextSettledNanos =
          losses.values().stream()
              .mapToLong(PartLoss::atNanos)
              .filter(atNanos -> atNanos - settledNanos > 0)
              .map(atNanos -> atNanos + SETTLING_TIME.toNanos())
              .min();
    }
    return attribution.get();
  }

  /** Returns whether a suspect part of a lost server is the cause of its loss. */
  boolean isExplained(String serverId) {
    PartLoss loss = losses.get(serverId);
    return loss != null && causeAmong(loss.suspectPartIds()).isPresent();
  }

  /** Returns the number of servers that count against a part. */
  int countedServers(String partId) {
    return attribution().lossCount(partId);
  }

  /** Returns a report of each loss for which one of the given parts is suspect. */
  List<PartLossReport> reportsOf(Set<String> partIds) {
    return losses.entrySet().stream()
        .filter(entry -> !Collections.disjoint(entry.getValue().suspectPartIds(), partIds))
        .map(
            entry ->
                new PartLossReport(
                    entry.getKey(),
                    entry.getValue().suspectPartIds(),
                    clock.since(entry.getValue().atNanos()).toMillis()))
        .toList();
  }
}
