package org.galenapost.core.order;

import java.util.Optional;
import org.galenapost.core.configuration.Placement;
import org.galenapost.core.configuration.Placement.PlacedModel;
import org.galenapost.core.order.EngineState.HeldModel;

/**
 * Finds the next step that brings an engine nearer to what is wanted. Models are loaded before
 * others are unloaded, so that the engine keeps serving; adapters that nobody wants stay, as
 * engines know no order to unload one.
 */
public final class PlacementComparison {

  private PlacementComparison() {}

  /** Returns the next step, empty if the engine holds what is wanted or must finish loading. */
  public static Optional<OrderStep> nextStep(Placement wanted, EngineState found) {
    if (!wanted.role().equals(found.role())) {
      return Optional.of(OrderStep.changeRole(wanted.role()));
    }
    return nextLoad(wanted, found)
        .or(() -> nextAdapter(wanted, found))
        .or(() -> nextUnload(wanted, found));
  }

  /** Returns whether the engine holds just what is wanted, completely loaded. */
  public static boolean isReached(Placement wanted, EngineState found) {
    return nextStep(wanted, found).isEmpty()
        && found.models().stream().noneMatch(HeldModel::loading);
  }

  private static Optional<OrderStep> nextLoad(Placement wanted, EngineState found) {
    return wanted.models().stream()
        .filter(placed -> find(found, placed).isEmpty())
        .map(placed -> OrderStep.load(placed.model(), placed.version()))
        .findFirst();
  }

  private static Optional<OrderStep> nextAdapter(Placement wanted, EngineState found) {
    for (PlacedModel placed : wanted.models()) {
      Optional<HeldModel> held = find(found, placed).filter(model -> !model.loading());
      Optional<String> missing =
          held.flatMap(
              model ->
                  placed.adapters().stream()
                      .filter(adapter -> !model.adapters().contains(adapter))
                      .sorted()
                      .findFirst());
      if (missing.isPresent()) {
        return missing.map(
            adapter -> OrderStep.loadAdapter(placed.model(), placed.version(), adapter));
      }
    }
    return Optional.empty();
  }

  private static Optional<OrderStep> nextUnload(Placement wanted, EngineState found) {
    boolean isLoading =
        wanted.models().stream()
            .anyMatch(placed -> find(found, placed).map(HeldModel::loading).orElse(true));
    if (isLoading) {
      return Optional.empty();
    }
    return found.models().stream()
        .filter(held -> wanted.models().stream().noneMatch(p -> held.matches(p.model(), p.version())))
        .map(held -> OrderStep.unload(held.model(), held.version()))
        .findFirst();
  }

  private static Optional<HeldModel> find(EngineState found, PlacedModel placed) {
    return found.models().stream()
        .filter(held -> held.matches(placed.model(), placed.version()))
        .findFirst();
  }
}
