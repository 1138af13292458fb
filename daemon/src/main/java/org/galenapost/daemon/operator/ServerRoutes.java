package org.galenapost.daemon.operator;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.drain.DrainControl;
import org.galenapost.core.drain.DrainOrder;
import org.galenapost.core.drain.DrainOutcome;
import org.galenapost.core.fleet.ServerState;

/** The routes that take backend servers out of service and back. */
public final class ServerRoutes {

  private static final int ACCEPTED = 202;

  private ServerRoutes() {}

  /** Adds the routes. */
  public static void addTo(OperatorRoutes routes, DrainControl control) {
    routes
        .add(
            "POST",
            "/v1/servers/{id}/drain",
            request -> changeState(control, request, ServerState.LEAVING))
        .add(
            "POST",
            "/v1/servers/{id}/return",
            request -> changeState(control, request, ServerState.LIVE));
  }

  private static CompletionStage<OperatorResponse> changeState(
      DrainControl control, OperatorRequest request, ServerState state) {
    String id = request.path("id");
    return control.changeState(id, state).thenApply(outcome -> toResponse(id, outcome));
  }

  private static OperatorResponse toResponse(String id, DrainOutcome outcome) {
    if (outcome instanceof DrainOutcome.Accepted accepted) {
      return OperatorResponse.ok(ObjectDocument.of(accepted.record()));
    }
    if (outcome instanceof DrainOutcome.PendingWrite carried) {
      return OperatorResponse.json(
          ACCEPTED,
          new PendingOrderDocument(
              carried.order(),
              "The daemons follow the order; it is written once the platform answers."));
    }
    if (outcome instanceof DrainOutcome.Refused refused) {
      return WriteResponses.of(Either.left(refused.failure()));
    }
    return OperatorResponse.notFound("No server '" + id + "'.");
  }

  /** An order that the platform does not hold yet. */
  private record PendingOrderDocument(DrainOrder order, String detail) {}
}
