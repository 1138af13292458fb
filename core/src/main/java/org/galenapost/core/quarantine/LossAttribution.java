package org.galenapost.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Attributes losses of servers to parts of prompts, as the losses stand at one time. It keeps what
 * it has counted, so that the time for a request grows with the number of its parts and their
 * losses. Valid until the losses change or a further one counts. Not safe for use by several
 * threads.
 */
final class LossAttribution {

  /** One loss may be chance, and two may be another fault of the same servers. */
  static final int MIN_LOSSES = 3;

  private static final int MIN_UNEXPLAINED_SERVERS = 2;

  /** Losses that are closer than this are one event, such as the loss of a rack. */
  private static final Duration SAME_EVENT = Duration.ofMillis(200);

  /** How far apart daemons notice the loss of several servers at once. */
  private static final Duration MASS_LOSS_WINDOW = Duration.ofMillis(500);

  private static final Comparator<PartLoss> OLDEST_FIRST =
      Comparator.comparingLong(PartLoss::atNanos);

  private final SuspectIndex suspects;
  private final long settledNanos;
  private final long[] sortedAtNanos;
  private final Map<String, List<PartLoss>> countedLosses = new HashMap<>();
  private final Map<PartLoss, List<String>> rankedSuspects = new IdentityHashMap<>();

  /**
   * Creates an attribution.
   *
   * @param losses all losses
   * @param suspects the losses by their suspect parts
   * @param settledNanos losses that are later than this do not count yet
   */
  LossAttribution(Collection<PartLoss> losses, SuspectIndex suspects, long settledNanos) {
    this.suspects = suspects;
    this.settledNanos = settledNanos;
    this.sortedAtNanos = losses.stream().mapToLong(PartLoss::atNanos).sorted().toArray();
  }

  /**
   * Returns the part of a request that is the cause of losses, if there is one. If the losses do
   * not tell parts of the request apart, the last one is returned, which the fewest requests share.
   */
  Optional<String> causeAmong(Collection<String> partIds) {
    List<String> candidates = partIds.stream().filter(this::hasEnoughLosses).toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Set<String> request = partIds instanceof Set<String> set ? set : new HashSet<>(partIds);
    Map<PartLoss, Integer> maxLossesOfOthers = new IdentityHashMap<>();
    return candidates.stream()
        .filter(partId -> isCause(partId, request, maxLossesOfOthers))
        .reduce((kept, next) -> lossCount(next) >= lossCount(kept) ? next : kept);
  }

  private boolean hasEnoughLosses(String partId) {
    return suspects.lossCount(partId) >= MIN_LOSSES
        && eventCount(countedLosses(partId)) >= MIN_LOSSES;
  }

  private boolean isCause(
      String partId, Set<String> request, Map<PartLoss, Integer> maxLossesOfOthers) {
    List<PartLoss> counted = countedLosses(partId);
    List<PartLoss> unexplained =
        counted.stream()
            .filter(
                loss ->
                    maxLossesOfOthers.computeIfAbsent(loss, key -> maxLossesOfOthers(key, request))
                        < counted.size())
            .toList();
    return eventCount(unexplained) >= MIN_LOSSES;
  }

  /** Returns the most losses that count against a suspect part of a loss that a request lacks. */
  private int maxLossesOfOthers(PartLoss loss, Set<String> request) {
    return rankedSuspects(loss).stream()
        .filter(partId -> !request.contains(partId))
        .findFirst()
        .map(this::lossCount)
        .orElse(0);
  }

  /** Returns the suspect parts of a loss that may be its cause, the one with most losses first. */
  private List<String> rankedSuspects(PartLoss loss) {
    return rankedSuspects.computeIfAbsent(
        loss,
        key ->
            key.suspectPartIds().stream()
                .filter(partId -> suspects.lossCount(partId) >= MIN_LOSSES)
                .filter(partId -> lossCount(partId) >= MIN_LOSSES)
                .sorted(Comparator.comparingInt(this::lossCount).reversed())
                .toList());
  }

  /** Returns the number of losses that count against a part. */
  int lossCount(String partId) {
    return countedLosses(partId).size();
  }

  /** Returns the losses that count against a part, the oldest first. */
  private List<PartLoss> countedLosses(String partId) {
    return countedLosses.computeIfAbsent(partId, this::countLosses);
  }

  private List<PartLoss> countLosses(String partId) {
    List<PartLoss> all = new ArrayList<>(suspects.lossesOf(partId));
    all.sort(OLDEST_FIRST);
    long[] allAtNanos = all.stream().mapToLong(PartLoss::atNanos).toArray();
    return all.stream()
        .filter(loss -> loss.atNanos() - settledNanos <= 0 && !isMassLoss(loss, allAtNanos))
        .toList();
  }

  /** Returns whether a part with the given losses was absent from servers lost at the same time. */
  private boolean isMassLoss(PartLoss loss, long[] partAtNanos) {
    int unexplained =
        countWithin(MASS_LOSS_WINDOW, loss, sortedAtNanos)
            - countWithin(MASS_LOSS_WINDOW, loss, partAtNanos);
    return unexplained >= MIN_UNEXPLAINED_SERVERS;
  }

  private static int countWithin(Duration window, PartLoss loss, long[] sortedNanos) {
    return firstAfter(sortedNanos, loss.atNanos() + window.toNanos())
        - firstAfter(sortedNanos, loss.atNanos() - window.toNanos() - 1);
  }

  /** Returns the index of the first time after the given one. */
  private static int firstAfter(long[] sortedNanos, long nanos) {
    int low = 0;
    int high = sortedNanos.length;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (sortedNanos[middle] <= nanos) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private static int eventCount(List<PartLoss> counted) {
    int events = 0;
    PartLoss last = null;
    for (PartLoss loss : counted) {
      if (last == null || loss.atNanos() - last.atNanos() > SAME_EVENT.toNanos()) {
        events++;
        last = loss;
      }
    }
    return events;
  }
}
