package org.galenapost.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.galenapost.core.profile.Urgency;

/**
 * Shares one target among workspaces by weighted fair queueing over cost, and orders the requests
 * of one workspace by urgency. A waiting request gains one urgency per aging step, so none starves.
 */
final class FairQueue<T> {

  private static final int PRUNE_AT_WORKSPACES = 256;
  private static final double URGENCY_LEVELS_GAINED_AT_MAX_WAIT = 3;

  private final Map<String, Flow<T>> flows = new HashMap<>();
  private double virtualTime;
  private int size;

  int size() {
    return size;
  }

  void add(Entry<T> entry, double weight) {
    if (flows.size() >= PRUNE_AT_WORKSPACES) {
      prune();
    }
    Flow<T> flow = flows.computeIfAbsent(entry.workspace(), workspace -> new Flow<>());
    if (flow.entries.isEmpty()) {
      flow.startTag = Math.max(flow.startTag, virtualTime);
    }
    flow.weight = weight;
    flow.entries.add(entry);
    size++;
  }

  /** Takes the next entry: of the workspace that is furthest behind, the most urgent. */
  Optional<Entry<T>> poll(long nowNanos) {
    Optional<Flow<T>> next =
        flows.values().stream()
            .filter(flow -> !flow.entries.isEmpty())
            .min(Comparator.comparingDouble(flow -> flow.startTag));
    return next.map(flow -> take(flow, nowNanos));
  }

  boolean contains(Entry<T> entry) {
    Flow<T> flow = flows.get(entry.workspace());
    return flow != null && flow.entries.contains(entry);
  }

  boolean remove(Entry<T> entry) {
    Flow<T> flow = flows.get(entry.workspace());
    boolean isRemoved = flow != null && flow.entries.remove(entry);
    if (isRemoved) {
      size--;
    }
    return isRemoved;
  }

  /** Gives back cost that a request was charged for and did not use. */
  void refund(String workspace, double unusedCost) {
    Flow<T> flow = flows.get(workspace);
    if (flow != null) {
      flow.startTag -= unusedCost / flow.weight;
    }
  }

  /** Forgets workspaces that wait for nothing and owe nothing. */
  private void prune() {
    flows.values().removeIf(flow -> flow.entries.isEmpty() && flow.startTag <= virtualTime);
  }

  /**
   * Takes out one entry to make room for a newcomer: the newest, least urgent one of the workspace
   * that holds most of the queue for its weight, if that is more than the newcomer's would hold
   * with one entry more; else one of its own workspace that is less urgent.
   */
  Optional<Entry<T>> evictFor(String newcomer, Urgency urgency, double weight) {
    Flow<T> own = flows.get(newcomer);
    double ownShare = (own == null ? 1 : own.entries.size() + 1) / weight;
    Optional<Entry<T>> ofLargest =
        flows.values().stream()
            .max(Comparator.comparingDouble(FairQueue::share))
            .filter(flow -> share(flow) > ownShare)
            .flatMap(FairQueue::leastUrgent);
    Optional<Entry<T>> victim =
        ofLargest.or(
            () ->
                Optional.ofNullable(own)
                    .flatMap(FairQueue::leastUrgent)
                    .filter(entry -> entry.urgency().compareTo(urgency) > 0));
    victim.ifPresent(this::remove);
    return victim;
  }

  private static <T> Optional<Entry<T>> leastUrgent(Flow<T> flow) {
    return flow.entries.stream()
        .max(
            Comparator.<Entry<T>, Urgency>comparing(Entry::urgency)
                .thenComparingLong(Entry::enqueuedNanos));
  }

  /** Returns how many requests would be served before a new one of this workspace and urgency. */
  double requestsBefore(String workspace, Urgency urgency, double weight) {
    Flow<T> own = flows.get(workspace);
    List<Entry<T>> ownAhead =
        own == null
            ? List.of()
            : own.entries.stream().filter(e -> e.urgency().compareTo(urgency) <= 0).toList();
    double lead = own == null ? 0 : Math.max(0, own.startTag - virtualTime);
    double tag = virtualTime + lead + cost(ownAhead) / weight;
    double requests = ownAhead.size();
    for (Map.Entry<String, Flow<T>> other : flows.entrySet()) {
      Flow<T> flow = other.getValue();
      if (!other.getKey().equals(workspace) && !flow.entries.isEmpty()) {
        double queued = cost(flow.entries);
        requests += flow.entries.size() * servedUntil(tag, flow, queued) / queued;
      }
    }
    return requests;
  }

  private static double servedUntil(double tag, Flow<?> flow, double queued) {
    if (flow.startTag > tag) {
      return 0;
    }
    double first = flow.entries.get(0).costTokens();
    return Math.min(queued, Math.max(first, (tag - flow.startTag) * flow.weight));
  }

  private Entry<T> take(Flow<T> flow, long nowNanos) {
    Entry<T> first =
        flow.entries.stream()
            .min(
                Comparator.<Entry<T>>comparingDouble(entry -> rank(entry, nowNanos))
                    .thenComparingLong(Entry::enqueuedNanos))
            .orElseThrow();
    flow.entries.remove(first);
    size--;
    virtualTime = Math.max(virtualTime, flow.startTag);
    flow.startTag += first.costTokens() / flow.weight;
    return first;
  }

  private double rank(Entry<T> entry, long nowNanos) {
    double waitedPart = (nowNanos - entry.enqueuedNanos()) / (double) entry.maxWait().toNanos();
    return entry.urgency().ordinal() - URGENCY_LEVELS_GAINED_AT_MAX_WAIT * waitedPart;
  }

  private static double share(Flow<?> flow) {
    return flow.entries.size() / flow.weight;
  }

  private static double cost(List<? extends Entry<?>> entries) {
    return entries.stream().mapToDouble(Entry::costTokens).sum();
  }

  /**
   * A waiting request.
   *
   * @param workspace the workspace that pays
   * @param urgency the order within the workspace
   * @param costTokens the cost, positive
   * @param enqueuedNanos when it came, as a reading of the monotonic clock
   * @param maxWait how long it may wait
   * @param item what waits
   */
  record Entry<T>(
      String workspace,
      Urgency urgency,
      double costTokens,
      long enqueuedNanos,
      Duration maxWait,
      T item) {}

  private static final class Flow<T> {
    private final List<Entry<T>> entries = new ArrayList<>();
    private double startTag;
    private double weight = 1;
  }
}
