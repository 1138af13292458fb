package org.galenapost.core.admission;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.galenapost.core.profile.Urgency;

/** Holds the queue, concurrency limit and estimates of one target. Guarded by its owner's lock. */
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

  /** Returns the expected wait of a new request, or zero while it is unknown. */
  Duration expectedWait(AdmissionRequest request, double weight) {
    if (hasCapacity() && queue.size() == 0) {
      return Duration.ZERO;
    }
    double ahead =
        queue.requestsBefore(request.workspace(), request.urgency(), weight)
            + Math.max(0, running - limit.limit());
    return drainRate.timeToFree(ahead + 1);
  }

  /** Returns the maximum wait of a request. */
  Duration maxWait(AdmissionRequest request, long nowNanos) {
    long remainingNanos = Math.max(1, request.deadlineNanos() - nowNanos);
    Duration waitByDeadline =
        Duration.ofNanos((long) (remainingNanos * settings.maxWaitFraction()));
    return waitByDeadline.compareTo(settings.maxWait()) < 0 ? waitByDeadline : settings.maxWait();
  }

  /** Returns whether a request would miss its deadline even at an optimistic service time. */
  boolean cannotMeetDeadline(AdmissionRequest request, Duration wait, long nowNanos) {
    Optional<Duration> service = estimate(request.urgency()).serviceTime(request.costTokens());
    long serviceNanos =
        service
            .map(time -> (long) (time.toNanos() * settings.requiredServiceTimeFraction()))
            .orElse(0L);
    return nowNanos + wait.toNanos() + serviceNanos - request.deadlineNanos() > 0;
  }

  /**
   * A queued request.
   *
   * @param request the request
   * @param callback the receiver of the decision
   */
  record PendingRequest(AdmissionRequest request, AdmissionCallback callback) {}
}
