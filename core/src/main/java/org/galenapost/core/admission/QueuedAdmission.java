package org.galenapost.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.galenapost.core.admission.FairQueue.Entry;
import org.galenapost.core.admission.TargetGate.PendingRequest;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.time.Scheduler.Cancellable;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/**
 * Admits requests through one short fair queue per target. What cannot be served in time is refused
 * at once, as not run and with the time to come back. Safe for use by several threads; outcomes are
 * called outside the lock.
 */
public final class QueuedAdmission implements Admission {

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);
  private static final int MAX_TARGETS = 500;

  private final MonotonicClock clock;
  private final Scheduler scheduler;
  private final AdmissionSettings settings;
  private final WorkspaceLimits limits;
  private final DemandShares shares;
  private final RandomGenerator random;
  private final AdmissionListener listener;
  private final Map<String, TargetGate> gates = new HashMap<>();

  /**
   * Creates an admission with empty queues.
   *
   * @param clock the clock
   * @param scheduler ends waits that grow too long
   * @param settings the parameters
   * @param terms the terms of each workspace
   * @param shares this daemon's part of each workspace's entitlement
   * @param random spreads the return of refused callers
   * @param listener hears of each decision
   */
  public QueuedAdmission(
      MonotonicClock clock,
      Scheduler scheduler,
      AdmissionSettings settings,
      Function<String, WorkspaceTerms> terms,
      DemandShares shares,
      RandomGenerator random,
      AdmissionListener listener) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.settings = settings;
    this.shares = shares;
    this.limits = new WorkspaceLimits(clock, settings.burst(), terms, shares);
    this.random = random;
    this.listener = listener;
  }

  @Override
  public Cancellable admit(AdmissionRequest request, AdmissionCallback outcome) {
    shares.onDemand(request.workspace(), request.costTokens());
    PendingRequest waiting = new PendingRequest(request, outcome);
    List<Runnable> decisions = new ArrayList<>();
    Optional<Cancellable> withdrawal;
    synchronized (this) {
      withdrawal =
          limits
              .charge(request.workspace(), request.costTokens())
              .map(wait -> refuseOverLimit(waiting, wait, decisions))
              .orElseGet(() -> enqueue(waiting, decisions));
    }
    decisions.forEach(Runnable::run);
    return withdrawal.orElse(() -> {});
  }

  /** Returns the requests that wait for a target. */
  public synchronized int queued(String target) {
    return gate(target).queue().size();
  }

  /** Returns the requests that wait for any target. */
  public synchronized int totalQueued() {
    return gates.values().stream().mapToInt(gate -> gate.queue().size()).sum();
  }

  /** Returns how many requests of a target may run at present. */
  public synchronized int concurrencyLimit(String target) {
    return gate(target).limit().limit();
  }

  private Optional<Cancellable> refuseOverLimit(
      PendingRequest waiting, Duration wait, List<Runnable> decisions) {
    String detail = "workspace " + waiting.request().workspace() + " is at its limit";
    refuse(waiting, RefusalReason.WORKSPACE_LIMIT, detail, wait, decisions);
    return Optional.empty();
  }

  private Optional<Cancellable> enqueue(PendingRequest waiting, List<Runnable> decisions) {
    AdmissionRequest request = waiting.request();
    TargetGate gate = gate(request.target());
    double weight = limits.weight(request.workspace());
    long nowNanos = clock.nanos();
    Duration wait = gate.expectedWait(request, weight);
    Duration maxWait = gate.maxWait(request, nowNanos);
    if (gate.cannotMeetDeadline(request, wait, nowNanos)) {
      refuseUnreachableDeadline(waiting, wait, decisions);
      return Optional.empty();
    }
    if (wait.compareTo(maxWait) > 0 || !makeRoom(gate, request, weight, decisions)) {
      refuseQueueFull(waiting, wait, decisions);
      return Optional.empty();
    }
    Entry<PendingRequest> entry =
        new Entry<>(
            request.workspace(),
            request.urgency(),
            request.costTokens(),
            nowNanos,
            maxWait,
            waiting);
    gate.queue().add(entry, weight);
    dispatch(gate, decisions);
    return gate.queue().contains(entry) ? Optional.of(scheduleExpiry(gate, entry)) : Optional.empty();
  }

  private boolean makeRoom(
      TargetGate gate, AdmissionRequest request, double weight, List<Runnable> decisions) {
    if (!gate.isQueueFull()) {
      return true;
    }
    Optional<Entry<PendingRequest>> evicted =
        gate.queue().evictFor(request.workspace(), request.urgency(), weight);
    evicted.ifPresent(entry -> refuseUnserved(entry, decisions));
    return evicted.isPresent();
  }

  private Cancellable scheduleExpiry(TargetGate gate, Entry<PendingRequest> entry) {
    Cancellable timer = scheduler.schedule(entry.maxWait(), () -> expire(gate, entry));
    return () -> {
      timer.cancel();
      withdraw(gate, entry);
    };
  }

  private void expire(TargetGate gate, Entry<PendingRequest> entry) {
    List<Runnable> decisions = new ArrayList<>();
    synchronized (this) {
      if (gate.queue().remove(entry)) {
        refuseUnserved(entry, decisions);
      }
    }
    decisions.forEach(Runnable::run);
  }

  private synchronized void withdraw(TargetGate gate, Entry<PendingRequest> entry) {
    if (gate.queue().remove(entry)) {
      limits.refund(entry.workspace(), entry.costTokens());
    }
  }

  private void dispatch(TargetGate gate, List<Runnable> decisions) {
    long nowNanos = clock.nanos();
    while (gate.hasCapacity()) {
      Optional<Entry<PendingRequest>> next = gate.queue().poll(nowNanos);
      if (next.isEmpty()) {
        return;
      }
      start(gate, next.get(), nowNanos, decisions);
    }
  }

  private void start(
      TargetGate gate, Entry<PendingRequest> entry, long nowNanos, List<Runnable> decisions) {
    PendingRequest waiting = entry.item();
    if (gate.cannotMeetDeadline(waiting.request(), Duration.ZERO, nowNanos)) {
      gate.queue().refund(entry.workspace(), entry.costTokens());
      refuseUnreachableDeadline(waiting, Duration.ZERO, decisions);
      return;
    }
    gate.started();
    Duration waited = Duration.ofNanos(nowNanos - entry.enqueuedNanos());
    AdmissionPermit permit = new Permit(gate, waiting.request(), waited, nowNanos);
    listener.onAdmitted(waiting.request(), waited);
    decisions.add(() -> waiting.callback().onAdmitted(permit));
  }

  private void refuseUnreachableDeadline(PendingRequest waiting, Duration wait, List<Runnable> decisions) {
    limits.refund(waiting.request().workspace(), waiting.request().costTokens());
    String detail = "the answer cannot be complete before the deadline of the profile";
    refuse(waiting, RefusalReason.DEADLINE_UNREACHABLE, detail, wait, decisions);
  }

  private void refuseQueueFull(PendingRequest waiting, Duration wait, List<Runnable> decisions) {
    limits.refund(waiting.request().workspace(), waiting.request().costTokens());
    String detail = "too many requests wait for " + waiting.request().target();
    refuse(waiting, RefusalReason.QUEUE_FULL, detail, wait, decisions);
  }

  private void refuseUnserved(Entry<PendingRequest> entry, List<Runnable> decisions) {
    refuseQueueFull(entry.item(), entry.maxWait(), decisions);
  }

  private void refuse(
      PendingRequest waiting,
      RefusalReason reason,
      String detail,
      Duration wait,
      List<Runnable> decisions) {
    listener.onRefused(waiting.request(), reason);
    Refusal refusal = Refusal.notRun(reason, detail).withRetryAfter(retryAfter(wait));
    decisions.add(() -> waiting.callback().onRefused(refusal));
  }

  private Duration retryAfter(Duration wait) {
    long baseNanos = Math.max(MIN_RETRY_AFTER.toNanos(), wait.toNanos());
    return Duration.ofNanos((long) (baseNanos * (1 + random.nextDouble())));
  }

  private TargetGate gate(String target) {
    if (gates.size() >= MAX_TARGETS) {
      gates.values().removeIf(TargetGate::isIdle);
    }
    return gates.computeIfAbsent(target, name -> new TargetGate(settings));
  }

  private final class Permit implements AdmissionPermit {

    private final TargetGate gate;
    private final AdmissionRequest request;
    private final Duration waited;
    private final long startedNanos;
    private Optional<Duration> firstAnswer = Optional.empty();
    private boolean isEnded;

    Permit(TargetGate gate, AdmissionRequest request, Duration waited, long startedNanos) {
      this.gate = gate;
      this.request = request;
      this.waited = waited;
      this.startedNanos = startedNanos;
    }

    @Override
    public Duration waited() {
      return waited;
    }

    @Override
    public void recordFirstAnswer(Duration latency) {
      synchronized (QueuedAdmission.this) {
        firstAnswer = Optional.of(latency);
        gate.limit().onFirstAnswer(latency, gate.running(), clock.nanos());
      }
    }

    @Override
    public void finished(int tokens) {
      end(tokens, true);
    }

    @Override
    public void abandoned(int tokens) {
      end(tokens, false);
    }

    private void end(int tokens, boolean isComplete) {
      List<Runnable> decisions = new ArrayList<>();
      synchronized (QueuedAdmission.this) {
        if (isEnded) {
          return;
        }
        isEnded = true;
        gate.ended(clock.nanos());
        settle(tokens, isComplete);
        dispatch(gate, decisions);
      }
      decisions.forEach(Runnable::run);
    }

    private void settle(int tokens, boolean isComplete) {
      int unused = Math.max(0, request.costTokens() - tokens);
      gate.queue().refund(request.workspace(), unused);
      limits.refund(request.workspace(), unused);
      if (isComplete) {
        Duration total = clock.since(startedNanos);
        gate.estimate(request.urgency())
            .add(firstAnswer.orElse(total), total, request.costTokens());
      }
    }
  }
}
