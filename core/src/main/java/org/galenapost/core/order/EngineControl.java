package org.galenapost.core.order;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.galenapost.core.fleet.BackendServer;

/** Reads the state of engines and gives them orders. */
public interface EngineControl {

  /** Reads the state of an engine, or says why there is none. */
  CompletionStage<Either<String, EngineState>> state(BackendServer server);

  /** Gives an order, once; the answer comes within {@link LeaseSettings#maxOrderDuration()}. */
  CompletionStage<OrderAnswer> order(BackendServer server, EngineOrder order);
}
