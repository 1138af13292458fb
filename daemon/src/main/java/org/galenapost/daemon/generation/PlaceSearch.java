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
final class PlaceSearch {

  private static final Duration RESUME_PATIENCE = Duration.ofSeconds(10);
  private static final Duration START_PATIENCE = Duration.ofSeconds(2);
  private static final Duration ISOLATION_PATIENCE = Duration.ofSeconds(2);
  private static final Duration LOOK_AGAIN = Duration.ofMillis(50);
  private static final Duration LOOK_AGAIN_AT_LEAST = Duration.ofMillis(250);

  private final GenerationContext context;
  private final RequestDigest digest;
  private final StartCause cause;
  private final RouteRequest wanted;
  private final Set<String> lostServerIds;
  private final Consumer<Runnable> locked;
  private final Consumer<Place> onPlace;
  private final Consumer<Refusal> onRefusal;
  private final long startNanos;
  private Optional<Scheduler.Cancellable> timer = Optional.empty();
  private Runnable ticket = () -> {};
  private boolean isOver;

  PlaceSearch(
      GenerationContext context,
      RequestDigest digest,
      StartCause cause,
      RouteRequest wanted,
      Consumer<Runnable> locked,
      Consumer<Place> onPlace,
      Consumer<Refusal> onRefusal) {
    this.context = context;
    this.digest = digest;
    this.cause = cause;
    this.wanted = wanted;
    this.lostServerIds = new HashSet<>(wanted.excludedServerIds());
    this.locked = locked;
    this.onPlace = onPlace;
    this.onRefusal = onRefusal;
    this.startNanos = context.clock().nanos();
  }

  /** Looks now, and again until there is a place or the patience is over. */
  void look() {
    if (isOver) {
      return;
    }
    stopWaiting();
    Placement placement = guard().place(digest);
    if (placement instanceof Placement.Refused refused) {
      end();
      onRefusal.accept(refused.refusal());
    } else if (!cause.isResume()
        && pacer().hasWaitingResumes()
        && !isPatienceOver(START_PATIENCE)) {
      awaitTurn();
    } else {
      route(placement);
    }
  }

  private void route(Placement placement) {
    boolean isIsolated = placement instanceof Placement.Isolated;
    Set<String> saturated = cause.isResume() ? pacer().saturatedServerIds() : Set.of();
    Set<String> claimed =
        isIsolated && !isPatienceOver(ISOLATION_PATIENCE)
            ? ((Placement.Isolated) placement).claimedServerIds()
            : Set.of();
    Set<String> excluded = new HashSet<>(lostServerIds);
    excluded.addAll(saturated);
    excluded.addAll(claimed);
    context
        .router()
        .route(excluding(excluded))
        .peek(route -> take(route, placement))
        .peekLeft(refusal -> onNoRoute(refusal, saturated, claimed));
  }

  private RouteRequest excluding(Set<String> serverIds) {
    return new RouteRequest(
        wanted.target(),
        wanted.isService(),
        wanted.adapter(),
        wanted.version(),
        wanted.prefixDigest(),
        wanted.urgency(),
        serverIds,
        wanted.isResume());
  }

  private void take(Route route, Placement placement) {
    String serverId = route.server().id();
    if (cause.isResume() && !pacer().tryAcquire(serverId)) {
      route.cancelled();
      lookAgainAfter(LOOK_AGAIN);
      return;
    }
    boolean isIsolated = placement instanceof Placement.Isolated;
    int provenFrom =
        placement instanceof Placement.Isolated isolated ? isolated.provenFromOffset() : 0;
    Place place =
        new Place(route, pacer(), cause.isResume(), guard(), digest, isIsolated, provenFrom);
    boolean isAlone = !isIsolated || guard().claim(serverId, digest);
    if (!isAlone && !isPatienceOver(ISOLATION_PATIENCE)) {
      place.endPrefill();
      place.endIsolation();
      route.cancelled();
      lookAgainAfter(Duration.ofMillis(1 + context.random().nextLong(LOOK_AGAIN.toMillis())));
      return;
    }
    end();
    onPlace.accept(place);
  }

  private void onNoRoute(Refusal refusal, Set<String> saturated, Set<String> claimed) {
    if (isPatienceOver(cause.isResume() ? RESUME_PATIENCE : START_PATIENCE)) {
      end();
      onRefusal.accept(refusal);
    } else if (!saturated.isEmpty()) {
      ticket = pacer().awaitSlot(this::lookSoon);
      lookAgainAfter(LOOK_AGAIN_AT_LEAST);
    } else if (!claimed.isEmpty()) {
      lookAgainAfter(LOOK_AGAIN);
    } else if (!lostServerIds.isEmpty()) {
      lostServerIds.clear();
      lookAgainAfter(LOOK_AGAIN);
    } else if (cause.isResume() && refusal.retryAfter().isPresent()) {
      lookAgainAfter(LOOK_AGAIN_AT_LEAST);
    } else {
      end();
      onRefusal.accept(refusal);
    }
  }

  private void awaitTurn() {
    ticket = pacer().awaitNoWaitingResumes(this::lookSoon);
    lookAgainAfter(LOOK_AGAIN_AT_LEAST);
  }

  /** Looks from a timer, so that no lock of another generation is held. */
  private void lookSoon() {
    context.scheduler().schedule(Duration.ZERO, () -> locked.accept(this::look));
  }

  private void lookAgainAfter(Duration delay) {
    timer = Optional.of(context.scheduler().schedule(delay, () -> locked.accept(this::look)));
  }

  private boolean isPatienceOver(Duration patience) {
    return context.clock().since(startNanos).compareTo(patience) >= 0;
  }

  private void stopWaiting() {
    timer.ifPresent(Scheduler.Cancellable::cancel);
    timer = Optional.empty();
    ticket.run();
    ticket = () -> {};
  }

  private void end() {
    isOver = true;
    stopWaiting();
  }

  /** Ends the search without a result. */
  void cancel() {
    if (!isOver) {
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
