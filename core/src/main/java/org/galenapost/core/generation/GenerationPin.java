package org.galenapost.core.generation;

import java.util.Objects;
import java.util.Optional;

/**
 * The model, version and sampling settings that all attempts at a generation share, so that their
 * tokens can be combined into one answer.
 *
 * @param model the model
 * @param adapter the adapter, if any
 * @param version the model version; empty until the first token states it
 * @param seed the seed of the sampler
 * @param temperature the sampling temperature
 * @param topP the nucleus sampling bound
 */
public record GenerationPin(
    String model,
    Optional<String> adapter,
    Optional<String> version,
    long seed,
    double temperature,
    double topP) {

  /** Checks that every part is present. */
  public GenerationPin {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(version, "version");
  }

  /** Returns the pin of a request, without a model version. */
  public static GenerationPin of(GenerationRequest request) {
    return new GenerationPin(
        request.model(),
        request.adapter(),
        Optional.empty(),
        request.seed(),
        request.temperature(),
        request.topP());
  }

  /** Returns a copy with the given model version. */
  public GenerationPin withVersion(String newVersion) {
    return new GenerationPin(model, adapter, Optional.of(newVersion), seed, temperature, topP);
  }

  /** Returns a copy with another seed. */
  public GenerationPin withSeed(long newSeed) {
    return new GenerationPin(model, adapter, version, newSeed, temperature, topP);
  }

  /** Returns a copy without a model version. */
  public GenerationPin withoutVersion() {
    return new GenerationPin(model, adapter, Optional.empty(), seed, temperature, topP);
  }

  boolean allows(String chunkModel, String chunkVersion) {
    return model.equals(chunkModel) && version.map(chunkVersion::equals).orElse(true);
  }
}
