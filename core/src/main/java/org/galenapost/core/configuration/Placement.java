package org.galenapost.core.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The desired role and models of one engine.
 *
 * @param serverId the id of the engine's backend server
 * @param role the desired role
 * @param models the desired models; all others are unloaded
 */
public record Placement(String serverId, String role, List<PlacedModel> models) {

  /** Checks that no component is null and copies the models. */
  public Placement {
    Objects.requireNonNull(serverId, "serverId");
    Objects.requireNonNull(role, "role");
    models = List.copyOf(models);
  }

  /**
   * A model to be loaded on an engine.
   *
   * @param model the name of the model
   * @param version the version of its weights
   * @param adapters the adapters to load with the model
   */
  public record PlacedModel(String model, String version, Set<String> adapters) {

    /** Checks that no component is null and copies the adapters. */
    public PlacedModel {
      Objects.requireNonNull(model, "model");
      Objects.requireNonNull(version, "version");
      adapters = Set.copyOf(adapters);
    }
  }
}
