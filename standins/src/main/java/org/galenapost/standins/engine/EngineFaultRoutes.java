package org.galenapost.standins.engine;

import static io.netty.handler.codec.http.HttpMethod.POST;

import org.galenapost.standins.http.FaultHandlers;
import org.galenapost.standins.http.Routes;

/** The control routes that set an engine's faults. */
final class EngineFaultRoutes {

  private final EngineFaults faults;
  private final FreezeGate gate;
  private final GenerationTable generations;
  private final Runnable halt;

  EngineFaultRoutes(
      EngineFaults faults, FreezeGate gate, GenerationTable generations, Runnable halt) {
    this.faults = faults;
    this.gate = gate;
    this.generations = generations;
    this.halt = halt;
  }

  /** Returns the routes with the fault routes added. */
  Routes addTo(Routes routes) {
    return routes
        .on(POST, "/standin/die", exchange -> halt.run())
        .on(
            POST,
            "/standin/freeze",
            FaultHandlers.withBody(EngineFaults.Freeze.class, gate::freeze))
        .on(POST, "/standin/thaw", FaultHandlers.withoutBody(gate::thaw))
        .on(POST, "/standin/reset-streams", FaultHandlers.withoutBody(generations::resetStreams))
        .on(
            POST,
            "/standin/cut-mid-event",
            FaultHandlers.withBody(EngineFaults.NextTokens.class, faults::setMidEventCuts))
        .on(
            POST,
            "/standin/crash-on",
            FaultHandlers.withBody(
                EngineFaults.CrashOn.class, change -> faults.setCrashMarker(change.marker())))
        .on(
            POST,
            "/standin/slow",
            FaultHandlers.withBody(EngineFaults.Slow.class, faults::setSlowFactor))
        .on(
            POST,
            "/standin/fail-fast",
            FaultHandlers.withBody(EngineFaults.Toggle.class, faults::setFailsFast))
        .on(
            POST,
            "/standin/lie",
            FaultHandlers.withBody(EngineFaults.Toggle.class, faults::setReportsIdleLoad))
        .on(
            POST,
            "/standin/duplicate-tokens",
            FaultHandlers.withBody(EngineFaults.NextTokens.class, faults::setDuplicateTokens))
        .on(
            POST,
            "/standin/skip-token",
            FaultHandlers.withBody(EngineFaults.NextTokens.class, faults::setSkippedTokens));
  }
}
