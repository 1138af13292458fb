package org.galenapost.core.routing;

import java.util.Objects;
import java.util.Set;

/**
 * A model that an engine has in memory.
 *
 * @param model the model
 * @param version the version of its weights
 * @param adapters the adapters loaded with it
 * @param isLoading whether the model is still being loaded
 */
public record LoadedModel(String model, String version, Set<String> adapters, boolean isLoading) {

  /** Checks the arguments and copies the adapters. */
  public LoadedModel {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(version, "version");
    adapters = Set.copyOf(adapters);
  }

  /** Returns whether the model can serve the request now. */
  boolean serves(RouteRequest request) {
    boolean isModelReady = model.equals(request.target()) && !isLoading;
    boolean hasVersion = request.version().map(version::equals).orElse(true);
    boolean hasAdapter = request.adapter().map(adapters::contains).orElse(true);
    return isModelReady && hasVersion && hasAdapter;
  }
}
