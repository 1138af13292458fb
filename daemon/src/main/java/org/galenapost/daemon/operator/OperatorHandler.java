package org.galenapost.daemon.operator;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Handles the requests of one route of the operator port. */
@FunctionalInterface
public interface OperatorHandler {

  /** Handles a request. Runs on an event loop, so it must not block. */
  CompletionStage<OperatorResponse> handle(OperatorRequest request);

  /** Returns a handler that computes its response synchronously. */
  static OperatorHandler immediate(Function<OperatorRequest, OperatorResponse> responder) {
    return request -> CompletableFuture.completedFuture(responder.apply(request));
  }
}
