package org.galenapost.core.admission;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.galenapost.core.profile.Urgency;

/** The queue, the limit and the estimates of one target; guarded by its owner's lock. */
final class TargetGate {

  private final AdmissionSettings settings;
  private final FairQueue<PendingRequest> queue;
  private final ConcurrencyLimit limit;
  private final DrainRate drainRate = new DrainRate();
  private final Map<Urgency, ServiceTimeEstimate> estimates = new EnumMap<>(Urgency.class);
  private int running;

  TargetGate(AdmissionSettings settings) {
    this.settings = settings;
    this.queue = new FairQueue<>();
    this.limit = new ConcurrencyLimit(settings);
  }

  FairQueue<PendingRequest> queue() {
    return queue;
  }

  ConcurrencyLimit limit() {
    return limit;
  }

  ServiceTimeEstimate estimate(Urgency urgency) {
    return estimates.computeIfAbsent(urgency, key -> new ServiceTimeEstimate());
  }

  int running() {
    return running;
  }

  boolean hasCapacity() {
    return running < limit.limit();
  }

  boolean isQueueFull() {
    return queue.size() >= settings.maxQueued();
  }

  boolean isIdle() {
    return running == 0 && queue.size() == 0;
  }

  void started() {
    running++;
  }

  void ended(long nowNanos) {
    running--;
    drainRate.ended(queue.size() > 0, nowNanos);
  }

  /** Returns how long a new request would wait, as far as is known. */
  Duration expectedWait(AdmissionRequest request, double weight) {
    if (hasCapacity() && queue.size() == 0) {
      return Duration.ZERO;
    }
    double ahead =
        queue.requestsBefore(request.workspace(), request.urgency(), weight)
            + Math.max(0, running - limit.limit());
    return drainRate.timeToFree(ahead + 1);
  }

  /** Returns how long a request may wait. */
  Duration maxWait(AdmissionRequest request, long nowNanos) {
    long leftNanos = Math.max(1, request.deadlineNanos() - nowNanos);
    Duration part = Duration.ofNanos((long) (leftNanos * settings.maxWaitFraction()));
    return part.compareTo(settings.maxWait()) < 0 ? part : settings.maxWait();
  }

  /** Returns whether a request cannot finish before its deadline even at the best of times. */
  boolean cannotMeetDeadline(AdmissionRequest request, Duration wait, long nowNanos) {
    Optional<Duration> service = estimate(request.urgency()).serviceTime(request.costTokens());
    long serviceNanos =
        service.map(time -> (long) (time.toNanos() * settings.requiredServiceTimeFraction())).orElse(0L);
    return nowNanos + wait.toNanos() + serviceNanos - request.deadlineNanos() > 0;
  }

  /**
   * A request in the queue.
   *
   * @param request the request
   * @param callback receives the decision
   */
  record PendingRequest(AdmissionRequest request, AdmissionCallback callback) {}
}
