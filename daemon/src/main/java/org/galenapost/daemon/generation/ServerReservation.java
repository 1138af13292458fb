package org.galenapost.daemon.generation;

import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.recovery.ResumePacer;
import org.galenapost.core.routing.Route;

/**
 * A server reserved for one attempt: the route, the prefill slot of a resume and the claim of an
 * isolated request. Slot and claim are each released at most once.
 */
final class ServerReservation {

  private final Route route;
  private final ResumePacer pacer;
  private final RequestGuard guard;
  private final RequestDigest digest;
  private final int provenFromOffset;
  private boolean holdsPrefillSlot;
  private boolean isIsolated;

  ServerReservation(
      Route route,
      ResumePacer pacer,
      boolean holdsPrefillSlot,
      RequestGuard guard,
      RequestDigest digest,
      boolean isIsolated,
      int provenFromOffset) {
    this.route = route;
    this.pacer = pacer;
    this.holdsPrefillSlot = holdsPrefillSlot;
    this.guard = guard;
    this.digest = digest;
    this.isIsolated = isIsolated;
    this.provenFromOffset = provenFromOffset;
  }

  Route route() {
    return route;
  }

  boolean isIsolated() {
    return isIsolated;
  }

  /** Releases the prefill slot, and the claim if the request no longer needs isolation. */
  void onToken(int nextOffset) {
    releasePrefillSlot();
    if (isIsolated && nextOffset >= provenFromOffset) {
      releaseClaim();
    }
  }

  void releasePrefillSlot() {
    if (holdsPrefillSlot) {
      holdsPrefillSlot = false;
      pacer.release(route.server().id());
    }
  }

  void releaseClaim() {
    if (isIsolated) {
      isIsolated = false;
      guard.release(route.server().id(), digest);
    }
  }

  /** Keeps the claim on a server that went down, as evidence against the request. */
  void keepClaim() {
    isIsolated = false;
  }
}
