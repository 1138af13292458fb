package org.galenapost.daemon.operator;

import java.util.Optional;
import org.galenapost.daemon.lifecycle.DaemonState;
import org.galenapost.daemon.metrics.DaemonMetrics;

/** The health, readiness and metrics routes. They need no operator token. */
public final class HealthRoutes {

  private static final int UNAVAILABLE = 503;
  private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8";

  private HealthRoutes() {}

  /** The response to a liveness probe. */
  record Health(String status) {}

  /** The response to a readiness probe, with the reason if the daemon is not ready. */
  record Readiness(boolean ready, Optional<String> reason) {}

  /** Adds the routes to the operator port. */
  public static void addTo(OperatorRoutes routes, DaemonState state, DaemonMetrics metrics) {
    routes
        .addOpen("GET", "/healthz", OperatorHandler.immediate(request -> health()))
        .addOpen("GET", "/readyz", OperatorHandler.immediate(request -> readiness(state)))
        .addOpen(
            "GET",
            "/metrics",
            OperatorHandler.immediate(
                request -> OperatorResponse.text(PROMETHEUS_TEXT, metrics.scrape())));
  }

  private static OperatorResponse health() {
    return OperatorResponse.ok(new Health("ok"));
  }

  private static OperatorResponse readiness(DaemonState state) {
    Optional<String> reason = state.notReadyReason();
    return reason.isEmpty()
        ? OperatorResponse.ok(new Readiness(true, reason))
        : OperatorResponse.json(UNAVAILABLE, new Readiness(false, reason));
  }
}
