package org.galenapost.daemon.generation;

import org.galenapost.core.generation.RequestDigest;
import org.galenapost.core.quarantine.RequestGuard;
import org.galenapost.core.recovery.ResumePacer;
import org.galenapost.core.routing.Route;

/** A place on a server with all that must be given back; each part is given back once. */
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
      boolean isPaced,
      RequestGuard guard,
      RequestDigest digest,
      boolean isIsolated,
      int provenFromOffset) {
    this.route = route;
    this.pacer = pacer;
    this.holdsPrefillSlot = isPaced;
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

  /** Ends the prefill, and the isolation once the request has come far enough. */
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

  /** Keeps the claim on a server that died, so that it stands as evidence. */
  void keepClaim() {
    isIsolated = false;
  }
}
