package org.galenapost.core.generation;

import java.util.Objects;
import java.util.Optional;
import org.galenapost.core.profile.Profile;

/**
 * A caller's request for one generation.
 *
 * @param generationId the unique id, shared by all attempts
 * @param workspace the workspace of the caller
 * @param profile the profile that applies to the request
 * @param model the model
 * @param adapter the adapter, if any
 * @param prompt the prompt
 * @param seed the seed of the sampler
 * @param temperature the sampling temperature
 * @param topP the nucleus sampling bound
 * @param maxTokens the maximum number of tokens to generate
 * @param deadlineNanos the deadline of the caller, in nanoseconds of the monotonic clock
 * @param isKeyed whether the id is derived from the caller's idempotency key, so that a repeated
 *     request has the same id on every daemon
 */
public record GenerationRequest(
    String generationId,
    String workspace,
    Profile profile,
    String model,
    Optional<String> adapter,
    String prompt,
    long seed,
    double temperature,
    double topP,
    int maxTokens,
    long deadlineNanos,
    boolean isKeyed) {

  /** Checks the arguments. */
  public GenerationRequest {
    Objects.requireNonNull(generationId, "generationId");
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(profile, "profile");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(prompt, "prompt");
    if (maxTokens < 1) {
      throw new IllegalArgumentException("maxTokens must be at least 1, but was " + maxTokens);
    }
  }
}
