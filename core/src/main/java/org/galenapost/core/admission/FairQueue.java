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
 * of one workspace by urgency. A request gains urgency while it waits, so that none starves.
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

  /** Removes the next entry: the most urgent of the workspace with the lowest start tag. */
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

  /** Refunds cost that a request was charged for and did not use. */
  void refund(String workspace, double unusedCost) {
    Flow<T> flow = flows.get(workspace);
    if (flow != null) {
      flow.startTag -= unusedCost / flow.weight;
    }
  }

  /** Removes workspaces with an empty queue and a start tag at or behind the virtual time. */
  private void prune() {
    flows.values().removeIf(flow -> flow.entries.isEmpty() && flow.startTag <= virtualTime);
  }

  /**
   * Evicts one entry to make room for a new one. The victim is the newest entry of the lowest
   * urgency in the workspace with the most entries per weight, provided that the new entry's
   * workspace would still have fewer. Otherwise it is a less urgent entry of the same workspace.
   */
  Optional<Entry<T>> evictFor(String workspace, Urgency urgency, double weight) {
    Flow<T> own = flows.get(workspace);
    double ownShare = (own == null ? 1 : own.entries.size() + 1) / weight;
    Optional<Entry<T>> fromLargestShare =
        flows.values().stream()
            .max(Comparator.comparingDouble(FairQueue::share))
            .filter(flow -> share(flow) > ownShare)
            .flatMap(FairQueue::leastUrgent);
    Optional<Entry<T>> victim =
        fromLargestShare.or(
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

  /** Returns the requests that would be served before a new one of this workspace and urgency. */
  double requestsBefore(String workspace, Urgency urgency, double weight) {
    Flow<T> own = flows.get(workspace);
    List<Entry<T>> ownAhead =
        own == null
            ? List.of()
            : own.entries.stream().filter(e -> e.urgency().compareTo(urgency) <= 0).toList();
    double tagLead = own == null ? 0 : Math.max(0, own.startTag - virtualTime);
    double tag = virtualTime + tagLead + cost(ownAhead) / weight;
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
    double waitedFraction = (nowNanos - entry.enqueuedNanos()) / (double) entry.maxWait().toNanos();
    return entry.urgency().ordinal() - URGENCY_LEVELS_GAINED_AT_MAX_WAIT * waitedFraction;
  }

  private static double share(Flow<?> flow) {
    return flow.entries.size() / flow.weight;
  }

  private static double cost(List<? extends Entry<?>> entries) {
    return entries.stream().mapToDouble(Entry::costTokens).sum();
  }

  /**
   * A queued request.
   *
   * @param workspace the workspace that is charged
   * @param urgency the order within the workspace
   * @param costTokens the cost in tokens, positive
   * @param enqueuedNanos when it was queued, in nanoseconds of the monotonic clock
   * @param maxWait the maximum wait
   * @param item the payload
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
