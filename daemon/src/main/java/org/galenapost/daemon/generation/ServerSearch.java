package org.galenapost.daemon.generation;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.quarantine.Placement;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.recovery.ResumePacer;
import org.galenapost.core.recovery.StartCause;
import org.galenapost.core.routing.Route;
import org.galenapost.core.routing.RouteRequest;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.verdict.Refusal;

/**
 * Looks for a server for one attempt, and waits where that helps: for a place in the prefill of a
 * surviving server, for a server without another suspect, or for resumes that go first. Used under
 * the lock of its generation; timers enter through the executor given.
 */
final class ServerSearch {

  private static final Duration RESUME_WAIT_LIMIT = Duration.ofSeconds(10);
  private static final Duration START_WAIT_LIMIT = Duration.ofSeconds(2);
  private static final Duration ISOLATION_WAIT_LIMIT = Duration.ofSeconds(2);
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(50);
  private static final Duration MAX_RETRY_INTERVAL = Duration.ofMillis(250);

  private final GenerationContext context;
  private final RequestDigest digest;
  private final StartCause cause;
  private final RouteRequest routeRequest;
  private final Set<String> lostServerIds;
  private final Consumer<Runnable> lockedExecutor;
  private final Consumer<ServerReservation> onReserved;
  private final Consumer<Refusal> onRefusal;
  private final long startNanos;
  private Optional<Scheduler.Cancellable> timer = Optional.empty();
  private Runnable pacerWait = () -> {};
  private boolean hasEnded;

  ServerSearch(
      GenerationContext context,
      RequestDigest digest,
      StartCause cause,
      RouteRequest wanted,
      Consumer<Runnable> locked,
      Consumer<ServerReservation> onPlace,
      Consumer<Refusal> onRefusal) {
    this.context = context;
    this.digest = digest;
    this.cause = cause;
    this.routeRequest = wanted;
    this.lostServerIds = new HashSet<>(wanted.excludedServerIds());
    this.lockedExecutor = locked;
    this.onReserved = onPlace;
    this.onRefusal = onRefusal;
    this.startNanos = context.clock().nanos();
  }

  /** Looks now, and again until there is a place or the patience is over. */
  void tryReserve() {
    if (hasEnded) {
      return;
    }
    cancelWait();
    Placement placement = guard().place(digest);
    if (placement instanceof Placement.Refused refused) {
      end();
      onRefusal.accept(refused.refusal());
    } else if (!cause.isResume()
        && pacer().hasWaitingResumes()
        && !hasWaited(START_WAIT_LIMIT)) {
      awaitResumes();
    } else {
      route(placement);
    }
  }

  private void route(Placement placement) {
    boolean isIsolated = placement instanceof Placement.Isolated;
    Set<String> saturated = cause.isResume() ? pacer().saturatedServerIds() : Set.of();
    Set<String> claimed =
        isIsolated && !hasWaited(ISOLATION_WAIT_LIMIT)
            ? ((Placement.Isolated) placement).claimedServerIds()
            : Set.of();
    Set<String> excluded = new HashSet<>(lostServerIds);
    excluded.addAll(saturated);
    excluded.addAll(claimed);
    context
        .router()
        .route(excluding(excluded))
        .peek(route -> reserve(route, placement))
        .peekLeft(refusal -> onNoRoute(refusal, saturated, claimed));
  }

  private RouteRequest excluding(Set<String> serverIds) {
    return new RouteRequest(
        routeRequest.target(),
        routeRequest.isService(),
        routeRequest.adapter(),
        routeRequest.version(),
        routeRequest.prefixDigest(),
        routeRequest.urgency(),
        serverIds,
        routeRequest.isResume());
  }

  private void reserve(Route route, Placement placement) {
    String serverId = route.server().id();
    if (cause.isResume() && !pacer().tryAcquire(serverId)) {
      route.cancelled();
      retryAfter(RETRY_INTERVAL);
      return;
    }
    boolean isIsolated = placement instanceof Placement.Isolated;
    int provenFrom =
        placement instanceof Placement.Isolated isolated ? isolated.provenFromOffset() : 0;
    ServerReservation place =
        new ServerReservation(route, pacer(), cause.isResume(), guard(), digest, isIsolated, provenFrom);
    boolean isAlone = !isIsolated || guard().claim(serverId, digest);
    if (!isAlone && !hasWaited(ISOLATION_WAIT_LIMIT)) {
      place.releasePrefillSlot();
      place.releaseClaim();
      route.cancelled();
      retryAfter(Duration.ofMillis(1 + context.random().nextLong(RETRY_INTERVAL.toMillis())));
      return;
    }
    end();
    onReserved.accept(place);
  }

  private void onNoRoute(Refusal refusal, Set<String> saturated, Set<String> claimed) {
    if (hasWaited(cause.isResume() ? RESUME_WAIT_LIMIT : START_WAIT_LIMIT)) {
      end();
      onRefusal.accept(refusal);
    } else if (!saturated.isEmpty()) {
      pacerWait = pacer().awaitSlot(this::retrySoon);
      retryAfter(MAX_RETRY_INTERVAL);
    } else if (!claimed.isEmpty()) {
      retryAfter(RETRY_INTERVAL);
    } else if (!lostServerIds.isEmpty()) {
      lostServerIds.clear();
      retryAfter(RETRY_INTERVAL);
    } else if (cause.isResume() && refusal.retryAfter().isPresent()) {
      retryAfter(MAX_RETRY_INTERVAL);
    } else {
      end();
      onRefusal.accept(refusal);
    }
  }

  private void awaitResumes() {
    pacerWait = pacer().awaitNoWaitingResumes(this::retrySoon);
    retryAfter(MAX_RETRY_INTERVAL);
  }

  /** Looks from a timer, so that no lock of another generation is held. */
  private void retrySoon() {
    context.scheduler().schedule(Duration.ZERO, () -> lockedExecutor.accept(this::tryReserve));
  }

  private void retryAfter(Duration delay) {
    timer = Optional.of(context.scheduler().schedule(delay, () -> lockedExecutor.accept(this::tryReserve)));
  }

  private boolean hasWaited(Duration patience) {
    return context.clock().since(startNanos).compareTo(patience) >= 0;
  }

  private void cancelWait() {
    timer.ifPresent(Scheduler.Cancellable::cancel);
    timer = Optional.empty();
    pacerWait.run();
    pacerWait = () -> {};
  }

  private void end() {
    hasEnded = true;
    cancelWait();
  }

  /** Ends the search without a result. */
  void cancel() {
    if (!hasEnded) {
      end();
    }
  }

  private RequestGuard guard() {
    return context.mechanisms().requestGuard();
  }

  private ResumePacer pacer() {
    return context.mechanisms().pacer();
  }
}
