package org.galenapost.core.order;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The state that an engine reports.
 *
 * @param models the models that are loaded or loading
 * @param role the role of the engine
 * @param fencingNumber the fencing number of the last order that the engine applied
 */
public record EngineState(List<HeldModel> models, String role, long fencingNumber) {

  /** Makes a defensive copy of the models; null becomes empty. */
  public EngineState {
    models = models == null ? List.of() : List.copyOf(models);
    Objects.requireNonNull(role, "role");
  }

  /**
   * A model that is loaded or loading on the engine.
   *
   * @param model the name of the model
   * @param version the version of its weights
   * @param adapters the names of its loaded adapters
   * @param loading whether the model is still loading
   */
  public record HeldModel(String model, String version, Set<String> adapters, boolean loading) {

    /** Makes a defensive copy of the adapters; null becomes empty. */
    public HeldModel {
      adapters = adapters == null ? Set.of() : Set.copyOf(adapters);
    }

    boolean matches(String otherModel, String otherVersion) {
      return model.equals(otherModel) && version.equals(otherVersion);
    }
  }
}
