package org.galenapost.core.order;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * What an engine says that it serves.
 *
 * @param models the models that it holds or loads
 * @param role its role
 * @param fencingNumber the number of the last order that it applied
 */
public record EngineState(List<HeldModel> models, String role, long fencingNumber) {

  /** Copies the models. */
  public EngineState {
    models = models == null ? List.of() : List.copyOf(models);
    Objects.requireNonNull(role, "role");
  }

  /**
   * A model on the engine.
   *
   * @param model its name
   * @param version the version of its weights
   * @param adapters its loaded adapters
   * @param loading whether it is still loading
   */
  public record HeldModel(String model, String version, Set<String> adapters, boolean loading) {

    /** Copies the adapters. */
    public HeldModel {
      adapters = adapters == null ? Set.of() : Set.copyOf(adapters);
    }

    boolean matches(String otherModel, String otherVersion) {
      return model.equals(otherModel) && version.equals(otherVersion);
    }
  }
}
