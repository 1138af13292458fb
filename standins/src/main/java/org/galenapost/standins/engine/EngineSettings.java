package org.galenapost.standins.engine;

import java.util.List;

/**
 * The capacity and behaviour of an engine.
 *
 * @param tokensPerSecond the decode rate in tokens per second that all running generations share
 * @param slots the maximum number of generations that run concurrently
 * @param maxWaiting the maximum number of generations that queue for a slot
 * @param tokenIntervalMs the minimum interval in milliseconds between two tokens of a generation
 * @param prefillTokensPerSecond the prefill rate in tokens per second
 * @param cacheBlocks the capacity of the prefix cache in blocks
 * @param eventLagMs the delay in milliseconds until a cache event is readable
 * @param eventLoss the probability that a cache event is lost, from 0 to 1
 * @param reportLagMs the interval in milliseconds between load reports; 0 takes one per request
 * @param checksFencing whether orders with a stale fencing number are rejected
 * @param loadMs the time in milliseconds that a model or adapter takes to load
 * @param crashMarker text in a prompt that crashes the engine, or empty
 * @param seed the seed of the random loss of cache events
 * @param models the models that are loaded at startup
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
   * A model that is loaded at startup.
   *
   * @param model the model's name
   * @param version the model's version
   * @param adapters the names of the loaded adapters
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
     * Parses a specification such as {@code m1:v1} or {@code m1:v1:a1+a2}.
     *
     * @throws IllegalArgumentException if the text has not two or three parts
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
