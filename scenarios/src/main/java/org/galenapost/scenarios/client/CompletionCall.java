package org.galenapost.scenarios.client;

import java.util.List;
import java.util.Optional;

/**
 * A completion request to send.
 *
 * @param addresses the caller addresses of the daemons, {@code ip:port}, in the order in which
 *     reconnects use them
 * @param workspaceKey the bearer key of the workspace
 * @param profile the profile, if not the default
 * @param idempotencyKey the idempotency key, if any
 * @param model the name of the model
 * @param prompt the prompt text
 * @param seed the seed of the generation
 * @param maxTokens the number of tokens to generate
 * @param reconnects whether a broken stream resumes at the next address
 */
public record CompletionCall(
    List<String> addresses,
    String workspaceKey,
    Optional<String> profile,
    Optional<String> idempotencyKey,
    String model,
    String prompt,
    long seed,
    int maxTokens,
    boolean reconnects) {

  /** Copies the addresses. */
  public CompletionCall {
    addresses = List.copyOf(addresses);
  }
}
