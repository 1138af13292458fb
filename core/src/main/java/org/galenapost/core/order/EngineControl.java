package org.galenapost.core.order;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.fleet.BackendServer;

/** Reads the state of engines and sends them orders. */
public interface EngineControl {

  /** Reads the state of an engine; completes with an error text if it cannot be read. */
  CompletionStage<Either<String, EngineState>> state(BackendServer server);

  /**
   * Sends an order once, without retries; completes within {@link
   * LeaseSettings#maxOrderDuration()}.
   */
  CompletionStage<OrderAnswer> order(BackendServer server, EngineOrder order);
}
