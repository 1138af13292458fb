package org.galenapost.scenarios.naive;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.galenapost.core.fleet.BackendServer;
import org.galenapost.core.order.EngineControl;
import org.galenapost.core.order.EngineOrder;
import org.galenapost.core.order.EngineState;
import org.galenapost.core.order.EngineState.HeldModel;
import org.galenapost.core.order.OrderAction;
import org.galenapost.core.order.OrderAnswer;

/**
 * Reads the state of an engine once and then updates its cached copy from the orders of this daemon
 * alone. It misses every change that comes from elsewhere, such as an engine restart.
 */
final class CachedEngineControl implements EngineControl {

  private final EngineControl delegate;
  private final Map<String, EngineState> statesByServer = new ConcurrentHashMap<>();

  CachedEngineControl(EngineControl delegate) {
    this.delegate = delegate;
  }

  @Override
  public CompletionStage<Either<String, EngineState>> state(BackendServer server) {
    EngineState cached = statesByServer.get(server.id());
    if (cached != null) {
      return CompletableFuture.completedFuture(Either.right(cached));
    }
    return delegate
        .state(server)
        .thenApply(state -> state.peek(received -> statesByServer.put(server.id(), received)));
  }

  @Override
  public CompletionStage<OrderAnswer> order(BackendServer server, EngineOrder order) {
    return delegate
        .order(server, order)
        .thenApply(
            answer -> {
              if (answer instanceof OrderAnswer.Applied) {
                statesByServer.computeIfPresent(
                    server.id(), (id, state) -> applyOrder(state, order));
              }
              return answer;
            });
  }

  private static EngineState applyOrder(EngineState state, EngineOrder order) {
    List<HeldModel> models = new ArrayList<>(state.models());
    String model = order.step().model().orElse("");
    String version = order.step().version().orElse("");
    models.removeIf(held -> held.model().equals(model) && held.version().equals(version));
    if (order.step().action() != OrderAction.UNLOAD_MODEL) {
      models.add(new HeldModel(model, version, Set.of(), false));
    }
    return new EngineState(models, order.step().role().orElse(state.role()), 0);
  }
}
