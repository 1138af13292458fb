package org.galenapost.daemon.operator;

import java.util.function.Supplier;
import org.galenapost.daemon.explain.TraceStore;

/** The routes that return the status of the daemon and the traces of its latest requests. */
public final class StatusRoutes {

  private StatusRoutes() {}

  /** Adds the routes to the operator port. */
  public static void addTo(
      OperatorRoutes routes, Supplier<DaemonStatus> status, TraceStore traces) {
    routes
        .add(
            "GET",
            "/v1/status",
            OperatorHandler.immediate(request -> OperatorResponse.ok(status.get())))
        .add(
            "GET",
            "/v1/explain/{requestId}",
            OperatorHandler.immediate(request -> explain(traces, request.path("requestId"))));
  }

  private static OperatorResponse explain(TraceStore traces, String requestId) {
    return traces
        .find(requestId)
        .map(trace -> OperatorResponse.ok(trace.toDocument()))
        .orElseGet(
            () ->
                OperatorResponse.notFound(
                    "This daemon keeps no trace of request '" + requestId + "'."));
  }
}
