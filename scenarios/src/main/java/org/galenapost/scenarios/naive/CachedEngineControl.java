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

/** Asks an engine for its state once and then believes that only its own orders change it. */
final class CachedEngineControl implements EngineControl {

  private final EngineControl engines;
  private final Map<String, EngineState> statesByServer = new ConcurrentHashMap<>();

  CachedEngineControl(EngineControl engines) {
    this.engines = engines;
  }

  @Override
  public CompletionStage<Either<String, EngineState>> state(BackendServer server) {
    EngineState known = statesByServer.get(server.id());
    if (known != null) {
      return CompletableFuture.completedFuture(Either.right(known));
    }
    return engines
        .state(server)
        .thenApply(state -> state.peek(found -> statesByServer.put(server.id(), found)));
  }

  @Override
  public CompletionStage<OrderAnswer> order(BackendServer server, EngineOrder order) {
    return engines
        .order(server, order)
        .thenApply(
            answer -> {
              if (answer instanceof OrderAnswer.Applied) {
                statesByServer.computeIfPresent(server.id(), (id, state) -> changed(state, order));
              }
              return answer;
            });
  }

  private static EngineState changed(EngineState state, EngineOrder order) {
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
