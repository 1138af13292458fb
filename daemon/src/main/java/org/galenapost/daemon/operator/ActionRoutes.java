package org.galenapost.daemon.operator;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.action.Claim;
import org.galenapost.core.action.ClaimResult;
import org.galenapost.core.action.OpenClaims;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;

/** The routes that list and settle actions without an outcome. */
public final class ActionRoutes {

  private static final String OPEN = "open";
  private static final String RAN = "ran";
  private static final String NOT_RUN = "not-run";

  private final OpenClaims claims;

  private ActionRoutes(OpenClaims claims) {
    this.claims = claims;
  }

  /** Adds the routes. */
  public static void addTo(OperatorRoutes routes, OpenClaims claims) {
    ActionRoutes handlers = new ActionRoutes(claims);
    routes
        .add("GET", "/v1/actions", handlers::list)
        .add("POST", "/v1/actions/{workspace}/{key}/settle", handlers::settle);
  }

  private CompletionStage<OperatorResponse> list(OperatorRequest request) {
    if (!request.query("state").orElse(OPEN).equals(OPEN)) {
      return completed(OperatorResponse.badRequest("state: expected open"));
    }
    return claims.list().thenApply(ActionRoutes::toResponse);
  }

  private CompletionStage<OperatorResponse> settle(OperatorRequest request) {
    Either<String, Settlement> settlement = Json.read(request.body(), Settlement.class);
    boolean hasRun = settlement.exists(body -> RAN.equals(body.outcome()));
    boolean hasNotRun = settlement.exists(body -> NOT_RUN.equals(body.outcome()));
    if (!hasRun && !hasNotRun) {
      return completed(OperatorResponse.badRequest("outcome: expected ran or not-run"));
    }
    String workspace = request.path("workspace");
    String key = request.path("key");
    return claims.settle(workspace, key, hasRun).thenApply(ActionRoutes::toResponse);
  }

  private static OperatorResponse toResponse(Either<PlatformError, List<Claim>> open) {
    return open.fold(
        error ->
            OperatorResponse.refused(
                Refusal.notRun(RefusalReason.PLATFORM_UNAVAILABLE, error.toString())),
        list -> OperatorResponse.ok(new OpenActions(list)));
  }

  private static OperatorResponse toResponse(ClaimResult result) {
    if (result instanceof ClaimResult.Done) {
      return OperatorResponse.ok(new Settled(true));
    }
    if (result instanceof ClaimResult.Refused refused) {
      return OperatorResponse.refused(refused.refusal());
    }
    return OperatorResponse.refused(
        Refusal.mayHaveRun(
            RefusalReason.PLATFORM_UNAVAILABLE, "It is not known whether this was recorded."));
  }

  private static CompletionStage<OperatorResponse> completed(OperatorResponse response) {
    return CompletableFuture.completedFuture(response);
  }

  /** What an operator found. */
  private record Settlement(String outcome) {}

  /** Whether the finding stands. */
  private record Settled(boolean settled) {}

  /** The claims without an outcome. */
  private record OpenActions(List<Claim> actions) {}
}
