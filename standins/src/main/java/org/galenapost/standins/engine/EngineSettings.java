package org.galenapost.standins.engine;

import java.util.List;

/**
 * How fast and how large an engine is.
 *
 * @param tokensPerSecond the rate that all running generations share
 * @param slots how many generations run at once
 * @param maxWaiting how many generations may wait for a slot
 * @param tokenIntervalMs the shortest time between two tokens of one generation
 * @param prefillTokensPerSecond the rate at which prompts are read
 * @param cacheBlocks how many blocks of prefixes the cache holds
 * @param eventLagMs how late cache events can be read
 * @param eventLoss the share of cache events that is lost, from 0 to 1
 * @param reportLagMs how old a load report may be
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param loadMs how long a model or adapter takes to load
 * @param crashMarker text in a prompt that crashes the engine, or empty
 * @param seed the seed of whatever is random
 * @param models the models that are loaded at the start
 */
public record EngineSettings(
    double tokensPerSecond,
    int slots,
    int maxWaiting,
    double tokenIntervalMs,
    double prefillTokensPerSecond,
    int cacheBlocks,
    long eventLagMs,
    double eventLoss,
    long reportLagMs,
    boolean checksFencing,
    long loadMs,
    String crashMarker,
    long seed,
    List<ModelSpec> models) {

  /** Copies the models. */
  public EngineSettings {
    models = List.copyOf(models);
  }

  /**
   * A model that is loaded at the start.
   *
   * @param model its name
   * @param version its version
   * @param adapters its adapters
   */
  public record ModelSpec(String model, String version, List<String> adapters) {

    private static final int MODEL_INDEX = 0;
    private static final int VERSION_INDEX = 1;
    private static final int ADAPTERS_INDEX = 2;

    /** Copies the adapters. */
    public ModelSpec {
      adapters = List.copyOf(adapters);
    }

    /**
     * Reads a specification such as {@code m1:v1} or {@code m1:v1:a1+a2}.
     *
     * @throws IllegalArgumentException if it has another form
     */
    public static ModelSpec parse(String text) {
      String[] parts = text.split(":", -1);
      if (parts.length <= VERSION_INDEX || parts.length > ADAPTERS_INDEX + 1) {
        throw new IllegalArgumentException(
            "expected MODEL:VERSION or MODEL:VERSION:ADAPTER+ADAPTER, but found " + text);
      }
      List<String> adapters =
          parts.length > ADAPTERS_INDEX ? List.of(parts[ADAPTERS_INDEX].split("\\+")) : List.of();
      return new ModelSpec(parts[MODEL_INDEX], parts[VERSION_INDEX], adapters);
    }
  }
}
