package org.galenapost.standins.engine;

import static io.netty.handler.codec.http.HttpMethod.POST;

import org.galenapost.standins.http.FaultHandlers;
import org.galenapost.standins.http.Routes;

/** The calls that switch an engine's faults. */
final class EngineSwitches {

  private final EngineFaults faults;
  private final FreezeGate gate;
  private final GenerationTable generations;
  private final Runnable halt;

  EngineSwitches(EngineFaults faults, FreezeGate gate, GenerationTable generations, Runnable halt) {
    this.faults = faults;
    this.gate = gate;
    this.generations = generations;
    this.halt = halt;
  }

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
            FaultHandlers.withBody(EngineFaults.NextTokens.class, faults::cutMidEvent))
        .on(
            POST,
            "/standin/crash-on",
            FaultHandlers.withBody(
                EngineFaults.CrashOn.class, change -> faults.setCrashMarker(change.marker())))
        .on(POST, "/standin/slow", FaultHandlers.withBody(EngineFaults.Slow.class, faults::slow))
        .on(
            POST,
            "/standin/fail-fast",
            FaultHandlers.withBody(EngineFaults.Toggle.class, faults::failFast))
        .on(POST, "/standin/lie", FaultHandlers.withBody(EngineFaults.Toggle.class, faults::lie))
        .on(
            POST,
            "/standin/duplicate-tokens",
            FaultHandlers.withBody(EngineFaults.NextTokens.class, faults::duplicateTokens))
        .on(
            POST,
            "/standin/skip-token",
            FaultHandlers.withBody(EngineFaults.NextTokens.class, faults::skipToken));
  }
}
